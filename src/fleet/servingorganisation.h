#pragma once

#include <optional>
#include <string>
#include <vector>

namespace pistachiofall {

/// One organisation of the serving configuration.
struct ServingOrganisation
{
    std::string name;
    std::vector<std::string> keys;
    /// Takes precedence over the priority of the route.
    std::optional<int> priority;
    /// Requests a second over all instances; 0 is no limit.
    double ratePerSecond = 0;
    /// Requests beyond the rate that may come at once.
    double burst = 0;
};

} // namespace pistachiofall
