#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace pistachiofall {

/// An operator's order to move the requests of a service to endpoints of another version, which run
/// beside the present ones.
struct RolloutOrder
{
    std::string service;
    /// The version to move to.
    std::string version;
    /// The time within which the operator expects the move to be complete.
    std::chrono::milliseconds duration{0};
};

enum class RolloutPhase {
    Running,
    /// All requests go to the target version; the operator may end the other endpoints.
    Complete,
    /// No request goes to the target version; the operator may end its endpoints.
    RolledBack,
};

/// The state of a rollout. It is stored beside the order, so that it outlives any instance.
struct RolloutStatus
{
    RolloutPhase phase = RolloutPhase::Running;
    /// The target version of the order to which this status belongs.
    std::string version;
    /// When the first instance took the order up, in calendar time.
    std::chrono::system_clock::time_point startedAt{};
    /// The part of the service's requests that goes to the target version, from 0 to 1.
    double share = 0;
    /// Why the rollout is in this phase, for operators.
    std::string reason;
};

/// The bounds within which operators want rollouts to stay.
struct RolloutBounds
{
    /// The part of a service's requests that a version may get before it is known to be sound.
    double maxExposure = 0.1;
    /// The time from the first evidence against a version until nothing is sent to it anymore.
    std::chrono::milliseconds rollbackTime{5000};
};

/// How the requests of a service are divided between its target version and the other versions.
struct VersionSplit
{
    std::string version;
    RolloutPhase phase = RolloutPhase::Running;
    double share = 0;

    bool operator==(const VersionSplit &other) const = default;
};

} // namespace pistachiofall
