#include "fleet/rolloutevidence.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using Seconds = std::chrono::duration<double>;

namespace {

RolloutTallies tallies(std::uint32_t target, std::uint32_t others)
{
    RolloutTallies result;
    result.routes[1] = {{target, 0, 0}, {others, 0, 0}};
    return result;
}

} // namespace

TEST_GROUP(RolloutEvidence)
{
    RolloutEvidence evidence;
};

// Guards against answers that count several times, because reports repeat or are overtaken.
TEST(RolloutEvidence, ReportsCountOnce)
{
    evidence.set("east-a-1", 1, tallies(10, 100));
    evidence.set("east-a-1", 1, tallies(12, 110));
    evidence.set("east-a-1", 1, tallies(12, 110));
    evidence.set("east-a-1", 1, tallies(10, 100));
    evidence.set("east-b-1", 5, tallies(3, 40));
    CHECK_EQUAL(15U, evidence.sum().total().target.answers);
    CHECK_EQUAL(150U, evidence.sum().total().others.answers);
}

// Guards against evidence that disappears when the process that gathered it ends.
TEST(RolloutEvidence, CountsOfAnEndedProcessStay)
{
    evidence.set("east-a-1", 1, tallies(10, 100));
    evidence.set("east-a-1", 2, tallies(1, 5));
    CHECK_EQUAL(11U, evidence.sum().total().target.answers);
}

TEST(RolloutEvidence, SlowMeansSeveralTimesTheOthersOnTheSameRoute)
{
    AnswerPace pace;
    CHECK_FALSE(pace.isSlow(1, Seconds{100}));
    for (int answer = 0; answer < 20; ++answer) {
        pace.recordOther(1, Seconds{0.02});
        pace.recordOther(2, Seconds{0.2});
    }
    CHECK(pace.isSlow(1, Seconds{0.08}));
    CHECK_FALSE(pace.isSlow(1, Seconds{0.03}));
    CHECK_FALSE(pace.isSlow(2, Seconds{0.3}));
}
