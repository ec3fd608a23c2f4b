#include "coord/locallimits.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime Start{1000s};
constexpr RateLimit Limit{90'000, 90};

int granted(LocalLimits &limits, std::size_t instances, SteadyTime now, int requests)
{
    int count = 0;
    for (int i = 0; i < requests; ++i) {
        const auto answer = limits.request("acme", Limit, instances, now);
        count += std::holds_alternative<TokensGranted>(answer) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_GROUP(LocalLimits){};

// Guards against a baseline that gives each instance the whole rate or burst.
TEST(LocalLimits, DividesRateAndBurstByTheInstances)
{
    LocalLimits limits;
    granted(limits, 9, Start, 1);
    // After 10 s the share of the burst (10) is full; 2 more become due within MaxGrantWait.
    CHECK_EQUAL(12, granted(limits, 9, Start + 10s, 100));
    CHECK_EQUAL(10, granted(limits, 9, Start + 11s, 100));
}

// Guards against a share that does not change with the number of instances.
TEST(LocalLimits, FollowsTheNumberOfInstances)
{
    LocalLimits limits;
    granted(limits, 9, Start, 1);
    granted(limits, 9, Start + 10s, 100);
    granted(limits, 3, Start + 10s, 1);
    CHECK_EQUAL(30, granted(limits, 3, Start + 11s, 100));
}

// Guards against a share of a small burst that can never hold a token.
TEST(LocalLimits, ASmallShareHoldsOneToken)
{
    CHECK_EQUAL(BucketLimit::UnitsPerToken, localShare({1000, 2}, 9).capacity);
    CHECK_EQUAL(bucketShare({1000, 2}, 2).capacity, localShare({1000, 2}, 1).capacity);
}
