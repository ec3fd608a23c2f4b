#include "coord/sharetimes.h"

#include "base/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

TEST_GROUP(ShareTimes)
{
    const SteadyTime start = ManualClock().now();
    const SteadyTime old = start - 100s;
    const PlaceStarts first{start, NeverUsed};
    const PlaceStarts second{NeverUsed, start};
    const PlaceStarts both{start, start};

    static bool isEqual(const ShareTimes &times, SteadyTime oneHalf, SteadyTime bothHalves)
    {
        return times == ShareTimes{oneHalf, bothHalves};
    }
};

TEST(ShareTimes, DividedBucketGivesEachPlaceOneHalf)
{
    CHECK(isEqual(shareTimes(first, false, old, old), start, NeverUsed));
    CHECK(isEqual(shareTimes(second, false, old, old), start, NeverUsed));
    CHECK(isEqual(shareTimes(both, false, old, old), start, start));
}

TEST(ShareTimes, UndividedBucketBelongsToTheFirstPlace)
{
    CHECK(isEqual(shareTimes(first, true, old, old), start, start));
    CHECK(isEqual(shareTimes(second, true, old, old), NeverUsed, NeverUsed));
    CHECK(isEqual(shareTimes(both, true, old, old), start, start));
}

// Guards against use of the second half by both holders while one of them has not learned yet that
// the bucket became divided or undivided.
TEST(ShareTimes, SecondHalfIsUnusedAfterAChangeOfDivision)
{
    const SteadyTime changed = start + 10s;
    const SteadyTime usable = changed + DivisionChangeDelay;
    CHECK(isEqual(shareTimes(first, true, old, changed), start, usable));
    CHECK(isEqual(shareTimes(second, false, old, changed), usable, NeverUsed));
    CHECK(isEqual(shareTimes(first, false, old, changed), start, NeverUsed));
    CHECK(isEqual(shareTimes(both, false, old, changed), start, start));
}

// Guards against a takeover of one place that stops the other one, which is already in use.
TEST(ShareTimes, PlaceThatStartsLaterDoesNotTakeFromTheOther)
{
    const SteadyTime later = start + TakeoverDelay;
    CHECK(isEqual(shareTimes({start, later}, false, old, old), start, later));
    CHECK(isEqual(shareTimes({later, start}, false, old, old), start, later));
    CHECK(isEqual(shareTimes({start, later}, true, old, old), start, start));
    CHECK(isEqual(shareTimes({later, start}, true, old, old), later, later));
}

TEST(ShareTimes, NewOrganisationStartsWhenItIsKnown)
{
    const SteadyTime known = start + 1s;
    CHECK(isEqual(shareTimes(first, false, known, known), known, NeverUsed));
    CHECK_EQUAL(0, halvesAt(shareTimes(first, false, known, known), known - 1ms));
    CHECK_EQUAL(1, halvesAt(shareTimes(first, false, known, known), known));
    CHECK_EQUAL(2, halvesAt(shareTimes(both, false, known, known), known));
}
