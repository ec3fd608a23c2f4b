#include "coord/tokenbucket.h"

#include "base/manualclock.h"

#include <tuple>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

namespace {

// Returns the due time of a granted request, or empty if it is refused.
std::optional<SteadyTime> takeDue(TokenBucket &bucket, std::uint32_t tokens,
                                  std::chrono::microseconds maxWait, SteadyTime now)
{
    const auto answer = bucket.take(tokens, maxWait, now);
    const auto *granted = std::get_if<TokensGranted>(&answer);
    return granted == nullptr ? std::nullopt : std::optional(granted->due);
}

std::optional<std::chrono::microseconds> retryAfter(TokenBucket &bucket, std::uint32_t tokens,
                                                    std::chrono::microseconds maxWait,
                                                    SteadyTime now)
{
    return std::get<TokensRefused>(bucket.take(tokens, maxWait, now)).retryAfter;
}

struct Use
{
    std::int64_t tokens;
    SteadyTime due;
};

// Returns whether the grants of every interval between two due times are at most rate x time +
// burst, without rounding.
bool isWithinLimit(const std::vector<Use> &uses, const RateLimit &limit, int halves)
{
    for (std::size_t first = 0; first < uses.size(); ++first) {
        std::int64_t tokens = 0;
        for (std::size_t last = first; last < uses.size(); ++last) {
            tokens += uses[last].tokens;
            const std::chrono::nanoseconds time = uses[last].due - uses[first].due;
            const __int128 allowed =
                    static_cast<__int128>(limit.milliTokensPerSecond) * time.count()
                    + static_cast<__int128>(limit.burst) * 1'000'000'000'000;
            if (static_cast<__int128>(tokens) * 2'000'000'000'000 > allowed * halves)
                return false;
        }
    }
    return true;
}

} // namespace

TEST_GROUP(TokenBucket)
{
    const SteadyTime start = ManualClock().now();
    const BucketLimit tenPerSecond = bucketShare({10'000, 5}, 2);
};

TEST(TokenBucket, GrantsNowThenLaterThenRefuses)
{
    TokenBucket bucket(tenPerSecond, start, 1);
    CHECK(takeDue(bucket, 1, 200ms, start) == start);
    CHECK(takeDue(bucket, 1, 200ms, start) == start + 100ms);
    CHECK(takeDue(bucket, 1, 200ms, start) == start + 200ms);
    CHECK(retryAfter(bucket, 1, 200ms, start) == 300ms);
    CHECK(takeDue(bucket, 1, 200ms, start + 100ms) == start + 300ms);
}

// Guards against a caller that retries a request forever that can never be granted.
TEST(TokenBucket, ReportsWhatCanNeverBeGranted)
{
    TokenBucket bucket(tenPerSecond, start);
    CHECK_FALSE(retryAfter(bucket, 6, 1s, start).has_value());
    TokenBucket blocked(bucketShare({0, 5}, 2), start);
    CHECK_FALSE(retryAfter(blocked, 1, 1s, start).has_value());
}

// Guards against a refused request that takes tokens.
TEST(TokenBucket, RefusalTakesNothing)
{
    TokenBucket bucket(tenPerSecond, start, 5);
    CHECK_FALSE(takeDue(bucket, 6, 1s, start).has_value());
    CHECK_FALSE(takeDue(bucket, 1, -1us, start).has_value());
    CHECK_EQUAL(5, bucket.tokens(start));
}

// Guards against a raised burst that adds tokens at once, and against a lowered one that does not
// take effect.
TEST(TokenBucket, ChangeOfLimitKeepsTheLevelUpToTheNewBurst)
{
    TokenBucket bucket(tenPerSecond, start, 5);
    bucket.setLimit(bucketShare({10'000, 50}, 2), start);
    CHECK_EQUAL(5, bucket.tokens(start));
    CHECK_EQUAL(15, bucket.tokens(start + 1s));
    bucket.setLimit(bucketShare({1'000, 3}, 2), start + 1s);
    CHECK_EQUAL(3, bucket.tokens(start + 1s));
    CHECK(bucket.isFull(start + 1s));
}

// Guards against a raised rate that pays off the debt of a grant before its due time.
TEST(TokenBucket, RaisedRateCountsFromTheLastDueTime)
{
    TokenBucket bucket(bucketShare({10'000, 1}, 2), start);
    CHECK(takeDue(bucket, 1, 100ms, start) == start + 100ms);
    bucket.setLimit(bucketShare({20'000, 1}, 2), start);
    CHECK(takeDue(bucket, 1, 200ms, start) == start + 150ms);
}

// Guards against an overflow after years without a request with the largest limit.
TEST(TokenBucket, LongPauseFillsTheBucketOnly)
{
    TokenBucket bucket(bucketShare({MaxMilliRate + 1, MaxBurst + 1}, 2), start);
    CHECK_EQUAL(MaxBurst, bucket.tokens(start + std::chrono::hours{24 * 3650}));
    CHECK_EQUAL(MaxBurst / 2, bucket.tokens(start + 1s));
    TokenBucket slow(bucketShare({1, MaxBurst}, 1), start);
    CHECK_EQUAL(157'680, slow.tokens(start + std::chrono::hours{24 * 3650}));
}

// Guards against a second refill for the same time when threads pass their clock readings out of
// order.
TEST(TokenBucket, EarlierTimeCountsAsTheLatest)
{
    TokenBucket bucket(tenPerSecond, start, 1);
    CHECK(takeDue(bucket, 1, 0ms, start + 1s) == start + 1s);
    CHECK(takeDue(bucket, 4, 0ms, start) == start + 1s);
    CHECK_FALSE(takeDue(bucket, 1, 0ms, start + 1s).has_value());
}

// Guards against rounding that adds tokens: the limit must hold exactly in every interval.
TEST(TokenBucket, NeverGrantsMoreThanTheLimitInAnyInterval)
{
    using Step = std::tuple<int, int, int>;
    const auto steps = rc::gen::container<std::vector<Step>>(
            rc::gen::tuple(rc::gen::inRange(-1'000'000, 30'000'000), rc::gen::inRange(1, 4),
                           rc::gen::inRange(0, 300)));
    CHECK(rc::check("token bucket bound", [this, steps] {
        const RateLimit limit{*rc::gen::inRange(1, 3'000'000), *rc::gen::inRange(1, 20)};
        const int halves = *rc::gen::inRange(1, 3);
        TokenBucket bucket(bucketShare(limit, halves), start, *rc::gen::inRange(0, 30));
        SteadyTime now = start;
        std::vector<Use> uses;
        for (const auto &[pause, tokens, wait] : *steps) {
            now += std::chrono::nanoseconds{pause};
            const std::chrono::milliseconds maxWait{wait};
            if (const auto due = takeDue(bucket, static_cast<std::uint32_t>(tokens), maxWait, now))
                uses.push_back({tokens, *due});
        }
        RC_ASSERT(isWithinLimit(uses, limit, halves));
    }));
}

// Guards against rounding that loses tokens: constant demand must get the whole rate.
TEST(TokenBucket, GrantsTheWholeRate)
{
    TokenBucket bucket(bucketShare({3'001, 7}, 1), start);
    int granted = 0;
    for (SteadyTime now = start; now <= start + 2000s; now += 333ms)
        granted += takeDue(bucket, 1, 0ms, now) ? 1 : 0;
    // The half is 1.5005 tokens per second; the last token may come between two requests.
    CHECK(granted >= 3000);
    CHECK(granted <= 3001);
}
