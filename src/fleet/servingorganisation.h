#pragma once

#include <optional>
#include <string>
#include <vector>

namespace pistachiofall {

/// An organisation in the serving configuration.
struct ServingOrganisation
{
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the priority of the route.
    std::optional<int> priority;
    /// The limit of requests per second across all instances; 0 means no limit.
    double ratePerSecond = 0;
    /// The number of requests that may be sent at once in excess of the rate.
    double burst = 0;
};

} // namespace pistachiofall
