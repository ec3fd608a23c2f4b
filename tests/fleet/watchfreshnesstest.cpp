#include "fleet/watchfreshness.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Bound{2000};
constexpr milliseconds Grace{400};

} // namespace

TEST_GROUP(WatchFreshness)
{
    SteadyTime now{seconds{100}};
    WatchFreshness freshness{Bound};
};

// Guards against an open watch that is trusted for as long as it stays open.
TEST(WatchFreshness, AsksAgainLongBeforeTheBound)
{
    CHECK(!freshness.shouldAsk(0, now));
    freshness.recordResponse(10, now);
    CHECK(!freshness.shouldAsk(0, now + milliseconds{700}));
    CHECK(freshness.shouldAsk(0, now + Bound / 2));
    CHECK(!freshness.shouldAsk(3, now + Bound / 2));
    // Half of the bound is left for an answer after a connection that went silent.
    CHECK(freshness.shouldAsk(100, now + Bound * 6 / 10));
}

// Guards against questions whose number grows with the fleet.
TEST(WatchFreshness, OneInstanceAsksForItsPeers)
{
    WatchFreshness peer{Bound};
    freshness.recordResponse(10, now);
    peer.recordResponse(10, now);
    now += Bound / 2;
    CHECK(freshness.shouldAsk(0, now));
    CHECK(!peer.shouldAsk(2, now));
    freshness.recordResponse(12, now);
    peer.recordPeer(freshness.mark(now + milliseconds{30}), now + milliseconds{30});
    CHECK(!peer.shouldAsk(2, now + Bound * 3 / 10));
    LONGS_EQUAL(30, peer.mark(now + milliseconds{30}).confirmedAge.count());
}

// Guards against a peer that knows less and whose answer is taken for one's own.
TEST(WatchFreshness, APeerWithANewerChangeConfirmsNothing)
{
    freshness.recordResponse(10, now);
    const auto later = now + seconds{1};
    freshness.recordPeer({11, milliseconds{0}}, later);
    CHECK(freshness.confirmedAt() == now);
    CHECK(!freshness.isBehind(Grace, later));
    CHECK(freshness.isBehind(Grace, later + Grace));
    freshness.recordRestart(later + Grace);
    CHECK(!freshness.isBehind(Grace, later + Grace));
    freshness.recordResponse(11, later + Grace);
    CHECK(!freshness.isBehind(Grace, later + Grace * 2));
}

// Guards against an instance that opens its watch again and again because a peer has seen the
// removal of an object that is missing from its own listing.
TEST(WatchFreshness, AListingCoversRemovalsThatItDoesNotShow)
{
    freshness.recordChange(7);
    freshness.recordResponse(20, now);
    freshness.recordPeer({15, milliseconds{0}}, now);
    CHECK(!freshness.isBehind(Grace, now + seconds{1}));
    LONGS_EQUAL(7, freshness.mark(now).newestChange);
}
