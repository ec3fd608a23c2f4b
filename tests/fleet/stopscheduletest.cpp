#include "fleet/stopschedule.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(StopSchedule)
{
    const SteadyTime begin{std::chrono::hours{1}};
    const StopSchedule schedule{begin, seconds{8}};
};

// Guards against requests that the load balancer sends and that are refused though there is time.
TEST(StopSchedule, TakesWhatTheBalancerSends)
{
    CHECK(schedule.mayPassOn(begin, begin + seconds{30}));
    CHECK(schedule.mayPassOn(begin + seconds{2}, begin + seconds{30}));
}

// Guards against requests that are taken late in the grace period and cut at its end.
TEST(StopSchedule, LaterRequestsMustEndInTime)
{
    const SteadyTime late = schedule.acceptsUntil() + milliseconds{1};
    CHECK(schedule.mayPassOn(late, schedule.answersUntil()));
    CHECK(!schedule.mayPassOn(late, schedule.answersUntil() + milliseconds{1}));
    CHECK(!schedule.mayPassOn(begin + seconds{7}, begin + seconds{8}));
}

// Guards against times out of order, and against a process that is killed before it has ended.
TEST(StopSchedule, HoldsForAnyGracePeriod)
{
    for (const milliseconds grace : {milliseconds{0}, milliseconds{500}, milliseconds{3000},
                                     milliseconds{8000}, milliseconds{600000}}) {
        const StopSchedule each(begin, grace);
        CHECK(each.acceptsUntil() <= each.answersUntil());
        CHECK(each.answersUntil() <= each.end());
        CHECK(each.end() <= begin + std::max(grace, milliseconds{0}));
    }
}
