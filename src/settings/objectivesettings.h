#pragma once

#include <chrono>

namespace pistachiofall {

/// Section [objectives]: the service-level objectives that the instance measures itself against.
struct ObjectiveSettings
{
    /// The maximum time from a request to the first token of its stream.
    std::chrono::milliseconds firstToken{1600};
    /// The maximum time between two consecutive tokens of a stream.
    std::chrono::milliseconds tokenGap{28};
    /// The share of requests that must succeed, between 0 and 1.
    double availability = 0.999;
    /// The share of batch items that must be finished by their due time, between 0 and 1.
    double batchOnTime = 0.99;
};

} // namespace pistachiofall
