#include "fleet/quotashares.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(QuotaShares)
{
    SteadyTime now{std::chrono::hours{1}};
    // 40 requests in a window of 5 s.
    QuotaShares::Limit limit{6, 10};

    static int takeAll(QuotaShares & shares, const QuotaShares::Limit &limit, SteadyTime now)
    {
        int taken = 0;
        while (taken < 1000 && shares.tryTake("acme", limit, now))
            ++taken;
        return taken;
    }

    QuotaShares alone()
    {
        QuotaShares shares(seconds{5});
        shares.setHasMemory(true, now);
        return shares;
    }
};

// Guards against an organisation that goes beyond its rate and burst in a window.
TEST(QuotaShares, GivesTheWholeLimitToOneInstance)
{
    QuotaShares shares = alone();
    CHECK_EQUAL(40, takeAll(shares, limit, now));
    CHECK_EQUAL(0, takeAll(shares, limit, now + seconds{4}));
    CHECK_EQUAL(40, takeAll(shares, limit, now + seconds{6}));
}

// Guards against two instances that each give the whole limit.
TEST(QuotaShares, CountsWhatPeersSent)
{
    QuotaShares shares = alone();
    shares.setPeerUse("b", {{"acme", 30}}, 1, now);
    CHECK_EQUAL(10, takeAll(shares, limit, now));
}

// Guards against a fleet split in halves that gives the limit twice.
TEST(QuotaShares, HalvesOfASplitFleetStayWithinTheLimit)
{
    int taken = 0;
    for (int half = 0; half < 2; ++half) {
        // Each half has two instances that hear each other and know of two that they do not hear.
        QuotaShares first = alone();
        QuotaShares second = alone();
        for (QuotaShares *shares : {&first, &second}) {
            shares->addPeer("far-1");
            shares->addPeer("far-2");
        }
        first.setPeerUse("second", {}, 1, now);
        const int byFirst = takeAll(first, limit, now);
        second.setPeerUse("first", {{"acme", static_cast<std::uint32_t>(byFirst)}}, 1, now);
        taken += byFirst + takeAll(second, limit, now);
    }
    CHECK(taken <= 40);
    CHECK(taken >= 36);
}

// Guards against a restarted peer whose requests are forgotten.
TEST(QuotaShares, CountsWhatAnEndedProcessSent)
{
    QuotaShares shares = alone();
    shares.setPeerUse("b", {{"acme", 30}}, 1, now);
    shares.setPeerUse("b", {{"acme", 2}}, 2, now + seconds{1});
    CHECK_EQUAL(8, takeAll(shares, limit, now + seconds{1}));
}

// Guards against the equal part of a stopped peer being kept from the others.
TEST(QuotaShares, AStoppedPeerNeedsNoPart)
{
    QuotaShares shares = alone();
    shares.setPeerUse("b", {{"acme", 4}}, 1, now);
    shares.peerStopped("b", now);
    CHECK_EQUAL(36, takeAll(shares, limit, now + seconds{2}));
}

// Guards against a second burst right after all instances were killed together.
TEST(QuotaShares, GivesNoBurstWithoutMemory)
{
    QuotaShares shares(seconds{5});
    shares.setHasMemory(false, now);
    CHECK_EQUAL(3, takeAll(shares, limit, now));
    shares.setHasMemory(false, now + seconds{2});
    CHECK_EQUAL(12, takeAll(shares, limit, now + seconds{2}));
}
