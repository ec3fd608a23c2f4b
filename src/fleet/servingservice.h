#pragma once

#include <string>

namespace pistachiofall {

/// A service in the serving configuration.
struct ServingService
{
    std::string name;
    /// The number of requests per second that a cold endpoint tolerates; 0 means no limit.
    double coldRate = 0;
};

} // namespace pistachiofall
