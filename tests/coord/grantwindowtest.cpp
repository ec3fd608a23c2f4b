#include "coord/grantwindow.h"

#include "base/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

TEST_GROUP(GrantWindow){};

// Guards against a requesting instance that uses a grant before it is due, or that was paused and
// uses an old grant in a later interval.
TEST(GrantWindow, OpensAfterTheWaitAndClosesOneSecondAfterTheDueTime)
{
    const SteadyTime sent = ManualClock().now();
    const GrantWindow window = grantWindow(sent, sent + 5ms, 100ms);
    CHECK_FALSE(isUsable(window, sent + 104ms));
    CHECK(isUsable(window, sent + 105ms));
    CHECK(isUsable(window, sent + 1100ms));
    CHECK_FALSE(isUsable(window, sent + 1101ms));
}

// Guards against the use of an answer that stayed in a socket buffer while the instance was paused.
TEST(GrantWindow, IsOverWhenTheAnswerIsReadTooLate)
{
    const SteadyTime sent = ManualClock().now();
    const GrantWindow window = grantWindow(sent, sent + 20s, 0ms);
    CHECK_FALSE(isUsable(window, sent + 1s));
    CHECK_FALSE(isUsable(window, sent + 20s));
}
