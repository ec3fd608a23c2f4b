#pragma once

#include <string>

namespace pistachiofall {

/// One instance of the system in the platform's lagging instance list.
struct ListedInstance
{
    std::string name;
    std::string failureDomain;
    /// HOST:PORT of the listener for other instances.
    std::string peerAddress;
    /// HOST:PORT of the listener for operators and scrapers.
    std::string adminAddress;
    bool leaving = false;
};

} // namespace pistachiofall
