#include "fleet/rolloutschedule.h"

#include <algorithm>
#include <array>

namespace pistachiofall {

namespace {

using std::chrono::milliseconds;

/// A share of the requests, as a multiple of the allowed exposure, and the part of the duration up
/// to which it is kept.
struct Stage
{
    double exposures;
    double until;
};

// With the allowed exposure of 0.1 the shares are 0.02, 0.06, 0.2 and 0.4, which sum up to 0.079 of
// the requests of the whole duration.
constexpr std::array<Stage, 4> Stages{{{0.2, 0.05}, {0.6, 0.5}, {2, 0.6}, {4, 0.68}}};
// A share is kept until it is in force everywhere and has been answered.
constexpr milliseconds MinStage{1000};
constexpr std::uint32_t MinAnswersInStage = 20;
// With little traffic or cold endpoints, the shares grow without the evidence from this part of the
// duration on, so that a sound version is complete in time.
constexpr double PatienceUntil = 0.72;
// The part of the target version's endpoints that must be warm for the large shares.
constexpr double MinWarmPart = 0.5;
constexpr std::size_t FirstLargeStage = 2;
// All requests go to the version for at least this time before the others may end.
constexpr milliseconds MinFullStage{1500};
// The endpoints of other versions are given up when they are not idle by then.
constexpr double ForcedCompletion = 1.5;

milliseconds part(milliseconds duration, double fraction)
{
    return std::chrono::duration_cast<milliseconds>(duration * fraction);
}

double shareOf(const Stage &stage, const RolloutBounds &bounds)
{
    return std::min(1.0, stage.exposures * bounds.maxExposure);
}

/// The number of stages whose share has been reached.
std::size_t stagesReached(double share, const RolloutBounds &bounds)
{
    constexpr double Tolerance = 1e-4;
    return static_cast<std::size_t>(
            std::count_if(Stages.begin(), Stages.end(), [&](const Stage &stage) {
                return share >= shareOf(stage, bounds) - Tolerance;
            }));
}

bool mayGrow(const RolloutSituation &situation, std::size_t reached)
{
    if (situation.inStage < MinStage || !situation.isInForce)
        return false;
    if (situation.elapsed >= part(situation.duration, PatienceUntil))
        return true;
    const bool needsWarm = reached >= FirstLargeStage;
    const bool areWarm = situation.warmTargetEndpoints >= MinWarmPart * situation.targetEndpoints;
    return situation.answersInStage >= MinAnswersInStage && (areWarm || !needsWarm);
}

RolloutStep finish(const RolloutSituation &situation)
{
    const bool isForced = situation.elapsed >= part(situation.duration, ForcedCompletion);
    const bool isDone = situation.isInForce && situation.areOthersIdle;
    if (situation.inStage >= MinFullStage && (isDone || isForced))
        return CompleteRollout{};
    return KeepShare{};
}

} // namespace

RolloutStep nextRolloutStep(const RolloutSituation &situation, const RolloutBounds &bounds)
{
    if (situation.isBad)
        return RollBack{"the answers of the version are worse than those of the others"};
    if (situation.share >= 1)
        return finish(situation);
    if (situation.targetEndpoints == 0)
        return KeepShare{};
    const std::size_t reached = stagesReached(situation.share, bounds);
    if (reached == 0)
        return SetShare{shareOf(Stages.front(), bounds)};
    if (situation.elapsed < part(situation.duration, Stages.at(reached - 1).until)
        || !mayGrow(situation, reached))
        return KeepShare{};
    if (reached == Stages.size())
        return SetShare{1};
    return SetShare{shareOf(Stages.at(reached), bounds)};
}

} // namespace pistachiofall
