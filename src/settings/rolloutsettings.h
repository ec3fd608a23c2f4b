#pragma once

#include <cstddef>

namespace pistachiofall {

/// Section [rollout]. Must be the same on all instances.
struct RolloutSettings
{
    /// The share of a model's endpoints that must stay in service during a rollout.
    double minInService = 0.75;
    /// The maximum number of simultaneous loads in the fleet, divided among the models. Each model
    /// is always allowed at least one.
    std::size_t maxLoads = 8;
};

} // namespace pistachiofall
