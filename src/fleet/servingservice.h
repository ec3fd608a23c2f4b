#pragma once

#include <chrono>
#include <string>

namespace pistachiofall {

/// One service of the serving configuration.
struct ServingService
{
    std::string name;
    std::string healthPath;
    /// How many connections one endpoint accepts from all callers together; 0 is no limit.
    int maxConnections = 0;
    /// How long an endpoint stays cold after its start.
    std::chrono::milliseconds coldPeriod{0};
    /// Requests a second that a cold endpoint tolerates; 0 is no limit.
    double coldRate = 0;
    /// Whether its endpoints are model engines with a state report.
    bool isEngine = false;
};

} // namespace pistachiofall
