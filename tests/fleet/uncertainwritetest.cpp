#include "fleet/uncertainwrite.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_GROUP(UncertainWrite)
{
    SteadyTime now{seconds{100}};
};

// Guards against a write that is taken for failed and applied afterwards.
TEST(UncertainWrite, StaysOpenWhileItsConditionHolds)
{
    const UncertainWrite update(7, now);
    CHECK(!update.isSettled(7, now + seconds{6}));
    CHECK(update.isSettled(8, now + seconds{6}));
    CHECK(update.isSettled(7, now + minutes{1}));
}

// Guards against a job that is created after its creator has given up on it.
TEST(UncertainWrite, ACreationStaysOpenWhileTheObjectIsMissing)
{
    const UncertainWrite creation(0, now);
    CHECK(!creation.isSettled(std::nullopt, now + seconds{6}));
    CHECK(creation.isSettled(3, now));
    CHECK(creation.isSettled(std::nullopt, now + minutes{1}));
}
