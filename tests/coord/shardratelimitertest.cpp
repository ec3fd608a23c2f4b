#include "coord/shardratelimiter.h"

#include "base/manualclock.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

namespace {

const HolderId selfId{"self", 1};
const HolderId peerId{"peer", 1};

} // namespace

TEST_GROUP(ShardRateLimiter)
{
    const SteadyTime start = ManualClock().now();
    const std::vector<std::uint32_t> onlyShard{0};
    ShardRateLimiter limiter{selfId};
    ShardTable table{1, {Shard{{{selfId, 1, false}, {peerId, 1, false}}}}};

    // "acme" has 100 tokens per second and a burst of 10. Limits and table were set 100 s ago, so
    // that no delay applies.
    void setup() override
    {
        const std::vector<OrganisationLimit> limits{{"acme", {100'000, 10}}, {"tiny", {1'000, 1}}};
        limiter.setRates(limits, start - 100s);
        limiter.setTable(table, start - 100s);
    }

    // Sets a table of the next epoch with these places.
    void assign(const ShardPlace &first, const ShardPlace &second, SteadyTime now)
    {
        table = {table.epoch + 1, {Shard{{first, second}}}};
        limiter.setTable(table, now);
    }

    ShardPlace kept(std::size_t place) const
    {
        return table.shards[0][place];
    }

    ShardPlace assigned(const HolderId &id, bool takenOver = false) const
    {
        return {id, table.epoch + 1, takenOver};
    }

    // Takes all tokens that are available now and returns how many were granted.
    int drain(const char *organisation, SteadyTime now)
    {
        int granted = 0;
        while (std::holds_alternative<TokensGranted>(limiter.request(organisation, 1, 0ms, now)))
            ++granted;
        return granted;
    }

    bool isHolder(const char *organisation, SteadyTime now)
    {
        return !std::holds_alternative<NotHolder>(limiter.request(organisation, 1, 0ms, now));
    }
};

TEST(ShardRateLimiter, OnePlaceHasHalfOfRateAndBurst)
{
    CHECK_EQUAL(5, drain("acme", start));
    CHECK_EQUAL(2, drain("acme", start + 40ms));
    CHECK_EQUAL(1, drain("tiny", start));
    CHECK(std::get<TokensGranted>(limiter.request("acme", 1, 200ms, start + 40ms)).due
          == start + 60ms);
    const auto refused = limiter.request("tiny", 1, 500ms, start + 700ms);
    CHECK(std::get<TokensRefused>(refused).retryAfter == 300ms);
    CHECK_FALSE(std::get<TokensRefused>(limiter.request("nobody", 1, 0ms, start)).retryAfter);
}

// Guards against a due time after the time that the next holder waits for.
TEST(ShardRateLimiter, NeverWaitsLongerThanTheBound)
{
    CHECK_EQUAL(5, drain("acme", start));
    int granted = 0;
    while (std::holds_alternative<TokensGranted>(limiter.request("acme", 1, 5s, start)))
        ++granted;
    CHECK_EQUAL(10, granted);
}

// Guards against a new holder that starts with a full bucket although a former holder has just
// emptied it.
TEST(ShardRateLimiter, GainedPlaceStartsEmptyAndKeptPlaceKeepsItsLevel)
{
    assign(kept(FirstPlace), assigned(selfId), start);
    CHECK_EQUAL(5, drain("acme", start));
    CHECK_EQUAL(10, drain("acme", start + 1s));
    ShardRateLimiter fresh{selfId};
    const std::vector<OrganisationLimit> limits{{"acme", {100'000, 10}}};
    fresh.setRates(limits, start - 100s);
    fresh.setTable(table, start);
    CHECK(std::get<TokensGranted>(fresh.request("acme", 1, 200ms, start)).due == start + 10ms);
}

TEST(ShardRateLimiter, LostPlaceTakesItsHalfAway)
{
    assign(kept(FirstPlace), assigned(selfId), start - 50s);
    CHECK_EQUAL(1, static_cast<int>(limiter.request("acme", 1, 0ms, start).index() == 0U));
    assign(kept(FirstPlace), assigned(peerId), start);
    CHECK_EQUAL(5, drain("acme", start));
    assign(assigned(peerId), kept(SecondPlace), start);
    CHECK_FALSE(isHolder("acme", start));
    assign(assigned({"self", 2}), kept(SecondPlace), start);
    CHECK_FALSE(isHolder("acme", start));
}

// Guards against a holder that lost a place and got it back between two tables that it read, and
// grants tokens that the holder in between has granted already.
TEST(ShardRateLimiter, PlaceThatWasLostInBetweenStartsEmpty)
{
    assign(kept(FirstPlace), assigned(selfId), start - 50s);
    CHECK(isHolder("acme", start));
    table.epoch += 5;
    assign(kept(FirstPlace), assigned(selfId), start);
    CHECK_EQUAL(5, drain("acme", start));
    assign(assigned(selfId), assigned(selfId), start);
    CHECK_EQUAL(0, drain("acme", start));
}

// Guards against two holders that use the same place, because the former one may not have learned
// of the takeover.
TEST(ShardRateLimiter, PlaceThatWasTakenOverIsUsedAfterTheTakeoverDelay)
{
    assign(assigned(selfId, true), assigned(peerId), start);
    CHECK(limiter.pendingTakeovers(start) == onlyShard);
    const auto refused = limiter.request("acme", 1, 200ms, start + 1s);
    CHECK(std::get<TokensRefused>(refused).retryAfter == TakeoverDelay - 1s + 20ms);
    const SteadyTime usable = start + TakeoverDelay;
    CHECK(std::get<TokensGranted>(limiter.request("acme", 1, 200ms, usable - 100ms)).due
          == usable + 20ms);
    CHECK(std::holds_alternative<TokensRefused>(limiter.request("acme", 1, 0ms, usable)));
    CHECK(limiter.pendingTakeovers(usable).empty());
}

// Guards against grants under a table that is known to be stale.
TEST(ShardRateLimiter, AnnouncedEpochStopsAllShardsUntilItsTableIsSet)
{
    limiter.announceEpoch(3);
    limiter.announceEpoch(2);
    CHECK_FALSE(isHolder("acme", start));
    CHECK_EQUAL(3U, limiter.newestEpoch());
    assign(kept(FirstPlace), kept(SecondPlace), start);
    CHECK_FALSE(isHolder("acme", start));
    assign(kept(FirstPlace), kept(SecondPlace), start);
    CHECK_EQUAL(5, drain("acme", start));
    ShardTable older{2, {Shard{{{peerId, 1, false}, {peerId, 1, false}}}}};
    limiter.setTable(older, start);
    CHECK_EQUAL(3U, limiter.epoch());
    CHECK(isHolder("acme", start));
}

// Guards against a place that is handed over before the grants of its holder are due.
TEST(ShardRateLimiter, PauseReturnsWhenTheLastGrantIsDue)
{
    CHECK_EQUAL(5, drain("acme", start));
    CHECK(std::holds_alternative<TokensGranted>(limiter.request("acme", 1, 200ms, start)));
    CHECK(limiter.pauseShards(1, onlyShard, start) == start + 20ms);
    CHECK(limiter.pauseShards(1, onlyShard, start + 1s) == start + 1s);
    CHECK_FALSE(isHolder("acme", start + 1s));
    limiter.resumeShards(1);
    CHECK(isHolder("acme", start + 1s));
}

// Guards against a shard that is resumed although its handover may still take effect, and against a
// pause that lasts beyond the next epoch.
TEST(ShardRateLimiter, PauseOfUnknownOutcomeEndsWithTheNextEpochOnly)
{
    CHECK(limiter.pauseShards(1, onlyShard, start).has_value());
    limiter.keepPaused(1);
    limiter.resumeShards(1);
    limiter.setTable(table, start);
    CHECK_FALSE(isHolder("acme", start));
    assign(kept(FirstPlace), kept(SecondPlace), start);
    CHECK(isHolder("acme", start));
    CHECK_FALSE(limiter.pauseShards(1, onlyShard, start).has_value());
    limiter.resumeShards(1);
    CHECK(isHolder("acme", start));
}

// Guards against a holder that grants again after a failed write of its own while a rebalancer's
// write may still take effect.
TEST(ShardRateLimiter, ReleaseEndsWithTheNextEpochOnly)
{
    CHECK_EQUAL(5, drain("acme", start));
    CHECK(std::holds_alternative<TokensGranted>(limiter.request("acme", 1, 200ms, start)));
    CHECK(limiter.releaseShards(1, onlyShard, start) == start + 20ms);
    CHECK(limiter.pauseShards(1, onlyShard, start).has_value());
    limiter.keepPaused(0);
    limiter.resumeShards(1);
    CHECK_FALSE(isHolder("acme", start + 1s));
    assign(kept(FirstPlace), kept(SecondPlace), start + 1s);
    CHECK(isHolder("acme", start + 1s));
    CHECK_FALSE(limiter.releaseShards(1, onlyShard, start + 1s).has_value());
    CHECK(isHolder("acme", start + 1s));
}

// Guards against a change of the rules that adds tokens to a bucket, and against organisations that
// are removed and added again to get a full bucket.
TEST(ShardRateLimiter, ChangedRateKeepsTheLevelAndNewOrganisationStartsEmpty)
{
    limiter.changeRate("acme", RateLimit{100'000, 1000}, start);
    CHECK_EQUAL(5, drain("acme", start));
    limiter.changeRate("acme", RateLimit{10'000, 2}, start + 1s);
    CHECK_EQUAL(1, drain("acme", start + 1s));
    limiter.changeRate("acme", std::nullopt, start + 10s);
    CHECK_FALSE(std::get<TokensRefused>(limiter.request("acme", 1, 0ms, start + 10s)).retryAfter);
    limiter.changeRate("acme", RateLimit{10'000, 2}, start + 10s);
    CHECK_EQUAL(0, drain("acme", start + 10s));
    CHECK_EQUAL(1, drain("acme", start + 11s));
}

// Guards against an organisation that is removed and added again to use a second bucket before the
// grants of the first one are due.
TEST(ShardRateLimiter, OrganisationAddedAgainStartsAfterItsWaitingGrants)
{
    CHECK_EQUAL(5, drain("acme", start));
    const auto waiting = limiter.request("acme", 1, 200ms, start);
    CHECK(std::get<TokensGranted>(waiting).due == start + 20ms);
    limiter.changeRate("acme", std::nullopt, start);
    limiter.changeRate("acme", RateLimit{100'000, 10}, start);
    const auto next = limiter.request("acme", 1, 200ms, start);
    CHECK(std::get<TokensGranted>(next).due == start + 40ms);
}

// Guards against use of the second half of a bucket by both holders, which learn at different times
// that it became undivided.
TEST(ShardRateLimiter, SecondHalfIsUnusedAfterAChangeOfDivision)
{
    limiter.changeRate("acme", RateLimit{1'000, 2}, start);
    CHECK_EQUAL(1, drain("acme", start));
    CHECK_EQUAL(1, drain("acme", start + DivisionChangeDelay));
    CHECK_EQUAL(2, drain("acme", start + DivisionChangeDelay + 2s));
    limiter.changeRate("tiny", RateLimit{100'000, 10}, start + 20s);
    CHECK_EQUAL(1, drain("tiny", start + 20s));
    CHECK_EQUAL(5, drain("tiny", start + 30s));
}

// Guards against a change of the division in a skipped version of the rules, which is not visible
// when all limits are replaced.
TEST(ShardRateLimiter, SecondHalfIsUnusedAfterLimitsAreReplaced)
{
    assign(assigned(peerId), assigned(selfId), start);
    CHECK_EQUAL(5, drain("acme", start + 1s));
    CHECK_FALSE(isHolder("tiny", start + 1s));
    const std::vector<OrganisationLimit> limits{{"acme", {100'000, 10}}};
    limiter.setRates(limits, start + 2s);
    const auto refused = limiter.request("acme", 1, 0ms, start + 2s);
    CHECK(std::get<TokensRefused>(refused).retryAfter == DivisionChangeDelay + 20ms);
    CHECK_EQUAL(1, drain("acme", start + 2s + DivisionChangeDelay + 20ms));
}

// Guards against state for each of 20,000 organisations, and against dropping buckets that are not
// full.
TEST(ShardRateLimiter, OnlyUsedBucketsHaveState)
{
    CHECK_EQUAL(0U, limiter.bucketCount());
    CHECK_EQUAL(5, drain("acme", start));
    limiter.dropIdleBuckets(start + 50ms);
    CHECK_EQUAL(1U, limiter.bucketCount());
    limiter.dropIdleBuckets(start + 100ms);
    CHECK_EQUAL(0U, limiter.bucketCount());
    CHECK_EQUAL(5, drain("acme", start + 100ms));
}

// Guards against a request whose thread was paused after it read the clock. The bucket was used,
// refilled and dropped since, and without its state would be computed as full at that earlier time.
TEST(ShardRateLimiter, RequestFromBeforeTheDropGetsNoUsedTokens)
{
    CHECK_EQUAL(5, drain("acme", start));
    limiter.dropIdleBuckets(start + 100ms);
    CHECK_EQUAL(0U, limiter.bucketCount());
    const auto late = limiter.request("acme", 1, 0ms, start);
    CHECK(std::get<TokensGranted>(late).due == start + 100ms);
}

// Guards against grants after a pause and against lost updates when threads race. The thread
// sanitizer build runs this test too.
TEST(ShardRateLimiter, ThreadsShareOneBucket)
{
    constexpr int ThreadCount = 4;
    std::atomic<int> granted{0};
    std::atomic<bool> isPaused{false};
    std::atomic<int> grantedAfterPause{0};
    std::vector<std::thread> threads;
    for (int index = 0; index < ThreadCount; ++index) {
        threads.emplace_back([&] {
            for (int step = 0; step < 5000; ++step) {
                const bool wasPaused = isPaused;
                const auto now = start + step * 1us;
                const auto answer = limiter.request("acme", 1, 0ms, now);
                if (!std::holds_alternative<TokensGranted>(answer))
                    continue;
                ++granted;
                grantedAfterPause += wasPaused ? 1 : 0;
            }
        });
    }
    for (int step = 0; step < 20; ++step)
        assign(kept(FirstPlace), kept(SecondPlace), start);
    CHECK(limiter.pauseShards(table.epoch, onlyShard, start).has_value());
    isPaused = true;
    for (std::thread &thread : threads)
        thread.join();
    CHECK(granted <= 5);
    CHECK_EQUAL(0, grantedAfterPause.load());
}
