#include "slo/slocounts.h"
#include "slo/servicelevels.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(SloCounts){};

// Guards against a parser that does not match the output of the registry, including its escaping.
TEST(SloCounts, readsWhatTheRegistryWrites)
{
    MetricsRegistry metrics;
    ServiceLevels levels(metrics, {}, R"(odd "name" \ {a,b})", "acme");
    levels.recordAvailability(true);
    levels.recordAvailability(false);
    metrics.counter("slo_requests_total_of_others").add(7);
    const SloCounts counts = parseSloCounts(metrics.renderText());
    CHECK_EQUAL(1U, counts.size());
    const SloKey key{"availability", R"(odd "name" \ {a,b})", "acme"};
    CHECK(counts.at(key) == (SloCount{2, 1}));
}

// Guards against a crash or a wrong count on truncated input.
TEST(SloCounts, ignoresMalformedLines)
{
    CHECK(parseSloCounts("slo_requests_total{objective=\"availability\n"
                         "slo_requests_total{objective=\"availability\"} x\n"
                         "slo_requests_total 3\nslo_bad_total{")
                  .empty());
}
