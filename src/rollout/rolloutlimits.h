#pragma once

#include <cstddef>

namespace pistachiofall {

/// Limits on how much a rollout may reduce the capacity of a model.
struct RolloutLimits
{
    /// The fraction of the endpoints in service that must stay in service, above 0 and below 1.
    double minInService = 0.75;
    /// The maximum number of simultaneous loads of the model, at least 1. It is limited because the
    /// weight store is rate-limited.
    std::size_t maxLoads = 8;
};

} // namespace pistachiofall
