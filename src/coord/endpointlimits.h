#pragma once

#include "coord/queuepolicy.h"

#include <chrono>

namespace pistachiofall {

/// The capacity of an endpoint, from its rule and from the service level objectives.
struct EndpointLimits
{
    /// The maximum number of requests in flight when the endpoint is warm.
    int slots = 1;
    /// The maximum number of requests in flight during a cold start.
    int coldSlots = 1;
    /// False while the endpoint is leaving or its failure domain is taken out of service: no new
    /// slots are granted.
    bool isAvailable = true;
    /// An answer with a longer time to first token does not raise the limit.
    std::chrono::milliseconds firstTokenObjective{1600};
    /// How batch and online requests share the slots.
    QueuePolicy queuePolicy{};

    bool operator==(const EndpointLimits &) const = default;
};

} // namespace pistachiofall
