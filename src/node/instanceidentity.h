#pragma once

#include <cstdint>
#include <string>

namespace pistachiofall {

/// Who this process is.
struct InstanceIdentity
{
    std::string name;
    /// Differs for each start of a process on the instance.
    std::uint64_t incarnation = 0;
    std::string failureDomain;
    /// IP:PORT of the listener for other instances.
    std::string peerAddress;
};

} // namespace pistachiofall
