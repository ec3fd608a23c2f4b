#pragma once

#include <string>

namespace pistachiofall {

/// One service of the serving configuration.
struct ServingService
{
    std::string name;
    /// Requests a second that a cold endpoint tolerates; 0 is no limit.
    double coldRate = 0;
};

} // namespace pistachiofall
