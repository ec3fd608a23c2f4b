#include "fleet/endpointhealth.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

TEST_GROUP(EndpointHealth){};

// Guards against a long backoff that is caused by many requests failing at the same time.
TEST(EndpointHealth, SimultaneousFailuresCountOnce)
{
    EndpointHealth health;
    const EndpointHealth::TimePoint now{std::chrono::hours{1}};
    for (int index = 0; index < 8; ++index)
        health.recordFailure(now);
    CHECK(health.backoffUntil() - now <= milliseconds{150});
}

// Guards against requests at full rate to an endpoint that stays down, and against an endpoint that
// is not used again after it recovers.
TEST(EndpointHealth, BackoffGrowsUpToABound)
{
    EndpointHealth health;
    EndpointHealth::TimePoint now{std::chrono::hours{1}};
    for (int index = 0; index < 12; ++index) {
        health.recordFailure(now);
        CHECK_FALSE(health.isUsable(now, 0));
        CHECK(health.backoffUntil() - now <= milliseconds{2000});
        now = health.backoffUntil();
        CHECK(health.isUsable(now, 0));
        CHECK_FALSE(health.isUsable(now, 1));
    }
    health.recordSuccess();
    CHECK(health.isUsable(now, 5));
}
