#pragma once

#include <cstdint>
#include <string>

namespace pistachiofall::standins {

/// One instance as the platform knows it. Both listeners have the same IP address, because an
/// EndpointSlice has addresses and ports but no address for each port.
struct PlatformInstance
{
    std::string name;
    std::string failureDomain;
    std::string host;
    std::uint16_t peerPort = 0;
    std::uint16_t adminPort = 0;
    bool isLeaving = false;
};

} // namespace pistachiofall::standins
