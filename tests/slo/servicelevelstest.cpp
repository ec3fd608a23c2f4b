#include "slo/servicelevels.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;

TEST_GROUP(ServiceLevels)
{
    MetricsRegistry metrics;
    ObjectiveSettings objectives;

    std::uint64_t value(const char *name, const char *objective)
    {
        return metrics
                .counter(name,
                         {{"objective", objective}, {"target", "tour"}, {"organisation", "acme"}})
                .value();
    }
};

// Guards against good requests that are counted against the error budget.
TEST(ServiceLevels, onlyMissedAvailabilityIsBad)
{
    ServiceLevels levels(metrics, objectives, "tour", "acme");
    levels.recordAvailability(true);
    levels.recordAvailability(true);
    levels.recordAvailability(false);
    CHECK_EQUAL(3U, value(SloRequestsMetric, "availability"));
    CHECK_EQUAL(1U, value(SloBadMetric, "availability"));
}

// Guards against an exclusive latency limit and against objectives that share counters.
TEST(ServiceLevels, latenciesAtTheObjectiveAreGood)
{
    ServiceLevels levels(metrics, objectives, "tour", "acme");
    levels.recordFirstToken(objectives.firstToken);
    levels.recordFirstToken(objectives.firstToken + milliseconds{1});
    levels.recordTokenGap(objectives.tokenGap);
    levels.recordTokenGap(objectives.tokenGap);
    levels.recordTokenGap(objectives.tokenGap + milliseconds{1});
    CHECK_EQUAL(2U, value(SloRequestsMetric, "first_token"));
    CHECK_EQUAL(1U, value(SloBadMetric, "first_token"));
    CHECK_EQUAL(3U, value(SloRequestsMetric, "token_gap"));
    CHECK_EQUAL(1U, value(SloBadMetric, "token_gap"));
    CHECK_EQUAL(0U, value(SloRequestsMetric, "availability"));
}
