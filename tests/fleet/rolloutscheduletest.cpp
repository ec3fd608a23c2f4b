#include "fleet/rolloutschedule.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds TickInterval{50};

/// Plays a rollout whose steps come into force after a while, and adds up the part of all requests
/// that the target version has got.
struct RolloutPlay
{
    milliseconds duration{12000};
    /// How long a step takes to reach all instances.
    milliseconds stepDelay{600};
    std::uint32_t answersPerSecond = 100;
    /// The version is condemned this long after its share has reached the one given; never if it
    /// is negative.
    double badFromShare = 0.0001;
    milliseconds judgedAfter{-1};
    int targets = 8;
    int warmTargets = 8;

    double exposure = 0;
    double share = 0;
    milliseconds ended{0};
    RolloutPhase phase = RolloutPhase::Running;

    void play()
    {
        milliseconds stageBegin{0};
        milliseconds badSince{-1};
        const RolloutBounds bounds;
        for (milliseconds now{0}; now < duration * 3; now += TickInterval) {
            exposure += share * (TickInterval / std::chrono::duration<double>(duration));
            if (share >= badFromShare && badSince.count() < 0)
                badSince = now;
            RolloutSituation situation;
            situation.elapsed = now;
            situation.inStage = now - stageBegin;
            situation.duration = duration;
            situation.share = share;
            situation.isBad = judgedAfter.count() >= 0 && badSince.count() >= 0
                    && now - badSince >= judgedAfter;
            situation.targetEndpoints = targets;
            situation.warmTargetEndpoints = warmTargets;
            situation.answersInStage = static_cast<std::uint32_t>(
                    share * answersPerSecond * situation.inStage.count() / 1000);
            situation.isInForce = situation.inStage >= stepDelay;
            situation.areOthersIdle = share >= 1 && situation.inStage >= stepDelay * 2;
            const RolloutStep step = nextRolloutStep(situation, bounds);
            if (const auto *set = std::get_if<SetShare>(&step)) {
                CHECK(set->share > share);
                share = set->share;
                stageBegin = now;
            } else if (!std::holds_alternative<KeepShare>(step)) {
                phase = std::holds_alternative<RollBack>(step) ? RolloutPhase::RolledBack
                                                               : RolloutPhase::Complete;
                ended = now;
                return;
            }
        }
    }
};

} // namespace

TEST_GROUP(RolloutSchedule)
{
    RolloutPlay rollout;
};

TEST(RolloutSchedule, SoundVersionIsCompleteInTime)
{
    rollout.answersPerSecond = 500;
    rollout.play();
    CHECK(rollout.phase == RolloutPhase::Complete);
    CHECK(rollout.ended <= rollout.duration);
}

// With little traffic there is no evidence to wait for.
TEST(RolloutSchedule, SoundVersionWithLittleTrafficIsCompleteInTime)
{
    rollout.duration = milliseconds{30000};
    rollout.answersPerSecond = 2;
    rollout.play();
    CHECK(rollout.phase == RolloutPhase::Complete);
    CHECK(rollout.ended <= rollout.duration);
}

TEST(RolloutSchedule, VersionThatIsBadAtOnceGetsLittle)
{
    rollout.judgedAfter = milliseconds{1500};
    rollout.play();
    CHECK(rollout.phase == RolloutPhase::RolledBack);
    CHECK(rollout.exposure < 0.02);
}

// A fault that comes with any share below the whole must stay within the allowed part.
TEST(RolloutSchedule, VersionThatTurnsBadAtALargerShareStaysWithinTheBound)
{
    for (const double share : {0.02, 0.06, 0.2, 0.4}) {
        RolloutPlay late;
        late.answersPerSecond = 500;
        late.badFromShare = share;
        late.judgedAfter = milliseconds{700};
        late.play();
        CHECK(late.phase == RolloutPhase::RolledBack);
        CHECK(late.exposure <= RolloutBounds{}.maxExposure);
    }
}

TEST(RolloutSchedule, NothingIsSentToAVersionWithoutEndpoints)
{
    rollout.targets = 0;
    rollout.warmTargets = 0;
    rollout.play();
    CHECK(rollout.phase == RolloutPhase::Running);
    DOUBLES_EQUAL(0.0, rollout.share, 0);
}

// Guards against a fleet whose requests go to endpoints that take little load yet.
TEST(RolloutSchedule, LargeSharesWaitForWarmEndpoints)
{
    RolloutSituation situation;
    situation.duration = milliseconds{20000};
    situation.elapsed = milliseconds{12500};
    situation.inStage = milliseconds{3000};
    situation.share = 0.2;
    situation.targetEndpoints = 8;
    situation.warmTargetEndpoints = 1;
    situation.answersInStage = 500;
    situation.isInForce = true;
    CHECK(std::holds_alternative<KeepShare>(nextRolloutStep(situation, {})));
    situation.warmTargetEndpoints = 8;
    CHECK(std::holds_alternative<SetShare>(nextRolloutStep(situation, {})));
}

// Guards against endpoints that the operator ends while requests run there or may still come.
TEST(RolloutSchedule, CompletionWaitsForTheOthers)
{
    RolloutSituation situation;
    situation.duration = milliseconds{12000};
    situation.elapsed = milliseconds{11000};
    situation.inStage = milliseconds{4000};
    situation.share = 1;
    situation.targetEndpoints = 8;
    situation.isInForce = true;
    CHECK(std::holds_alternative<KeepShare>(nextRolloutStep(situation, {})));
    situation.areOthersIdle = true;
    situation.isInForce = false;
    CHECK(std::holds_alternative<KeepShare>(nextRolloutStep(situation, {})));
    situation.isInForce = true;
    CHECK(std::holds_alternative<CompleteRollout>(nextRolloutStep(situation, {})));
}

TEST(RolloutSchedule, VersionThatTurnsBadAfterAllStepsIsTakenBack)
{
    RolloutSituation situation;
    situation.duration = milliseconds{12000};
    situation.elapsed = milliseconds{11000};
    situation.share = 1;
    situation.isBad = true;
    CHECK(std::holds_alternative<RollBack>(nextRolloutStep(situation, {})));
}
