#include "fleet/endpointhealth.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

TEST_GROUP(EndpointHealth){};

// Guards against an endpoint that is avoided for long because many requests failed at one moment.
TEST(EndpointHealth, FailuresTogetherCountOnce)
{
    EndpointHealth health;
    const EndpointHealth::TimePoint now{std::chrono::hours{1}};
    for (int index = 0; index < 8; ++index)
        health.noteFailure(now);
    CHECK(health.avoidedUntil() - now <= milliseconds{150});
}

// Guards against tries that go on at full rate at an endpoint that stays down, and against one that
// is not found again.
TEST(EndpointHealth, AvoidsLongerWithEachFailureUpToABound)
{
    EndpointHealth health;
    EndpointHealth::TimePoint now{std::chrono::hours{1}};
    for (int index = 0; index < 12; ++index) {
        health.noteFailure(now);
        CHECK_FALSE(health.isUsable(now, 0));
        CHECK(health.avoidedUntil() - now <= milliseconds{2000});
        now = health.avoidedUntil();
        CHECK(health.isUsable(now, 0));
        CHECK_FALSE(health.isUsable(now, 1));
    }
    health.noteSuccess();
    CHECK(health.isUsable(now, 5));
}
