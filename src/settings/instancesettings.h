#pragma once

#include <string>

namespace pistachiofall {

/// Section [instance]: the identity and location of this process.
struct InstanceSettings
{
    std::string name;
    std::string failureDomain;
    std::string region;
};

} // namespace pistachiofall
