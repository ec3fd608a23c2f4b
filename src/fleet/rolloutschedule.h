#pragma once

#include "fleet/rollout.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace pistachiofall {

/// What the instance that leads a rollout knows when it decides on the next step.
struct RolloutSituation
{
    /// The time since the order was taken up, and since the present share was set.
    std::chrono::milliseconds elapsed{0};
    std::chrono::milliseconds inStage{0};
    std::chrono::milliseconds duration{0};
    double share = 0;
    /// Whether the evidence condemns the version.
    bool isBad = false;
    /// The target version's endpoints that accept requests, and those of them that are not cold.
    int targetEndpoints = 0;
    int warmTargetEndpoints = 0;
    /// The answers of the target version since the present share was set.
    std::uint32_t answersInStage = 0;
    /// All live instances send by the present share.
    bool isInForce = false;
    /// No request runs at an endpoint of another version, and none has for a while.
    bool areOthersIdle = false;
};

/// Steps of a rollout.
struct KeepShare
{ };
struct SetShare
{
    double share = 0;
};
struct CompleteRollout
{ };
struct RollBack
{
    std::string reason;
};
using RolloutStep = std::variant<KeepShare, SetShare, CompleteRollout, RollBack>;

/// Decides the next step of a rollout. The load that it answers: a version may fail at once, later,
/// under load or on one route, and must have got no more than the allowed part of the service's
/// requests by then. The version therefore gets small shares for more than half of the time,
/// concentrated on so few endpoints that each has as much load as after the move; then larger
/// shares in short steps, whose sum stays within the allowed part of all requests; then all. It is
/// complete when the other endpoints are idle and no instance sends to them anymore.
RolloutStep nextRolloutStep(const RolloutSituation &situation, const RolloutBounds &bounds);

} // namespace pistachiofall
