#include "coord/backoff.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

TEST_GROUP(Backoff){};

// Guards against delays that exceed the bound, and against equal delays for all callers.
TEST(Backoff, DoublesUpToTheBoundAndVaries)
{
    const Backoff backoff(milliseconds{100}, milliseconds{1000});
    CHECK(backoff.delay(1, 100) == milliseconds{100});
    CHECK(backoff.delay(1, 101) == milliseconds{0});
    CHECK(backoff.delay(3, 400) == milliseconds{400});
    CHECK(backoff.delay(60, 1000) == milliseconds{1000});
    CHECK(backoff.delay(60, 1001) == milliseconds{0});
}
