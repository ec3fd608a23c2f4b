#pragma once

#include <cstddef>
#include <string>

namespace pistachiofall {

/// The progress of a rollout, in numbers of endpoints.
struct RolloutProgress
{
    /// The target version.
    std::string version;
    /// Endpoints that run the target version.
    std::size_t current = 0;
    /// Endpoints that are changing or are permitted to change.
    std::size_t changing = 0;
    /// Endpoints that run another version.
    std::size_t pending = 0;
    /// Endpoints without a recent report, or whose engine is unreachable.
    std::size_t unknown = 0;
    /// The first endpoint, by name, that failed to load the target version, which stops the
    /// rollout; empty when none failed.
    std::string failedEndpoint;
};

} // namespace pistachiofall
