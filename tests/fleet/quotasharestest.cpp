#include "fleet/quotashares.h"

#include <functional>

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

    // Peers report every 25 ms; between two reports an instance takes its part only.
    int takeInRounds(QuotaShares & shares, const std::function<void(SteadyTime)> &report)
    {
        int taken = 0;
        for (int round = 0; round < 40; ++round) {
            const auto time = now + seconds{1} + milliseconds{25} * round;
            report(time);
            taken += takeAll(shares, limit, time);
        }
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
    // Half of what is left until the peer is heard again.
    const int atOnce = takeAll(shares, limit, now);
    CHECK_EQUAL(5, atOnce);
    const int later = takeInRounds(shares, [&](SteadyTime time) {
        shares.setPeerUse("b", {{"acme", 30}}, 1, time);
    });
    CHECK_EQUAL(10, atOnce + later);
}

// Guards against a burst that reaches all instances before their next reports.
TEST(QuotaShares, ABurstAtAllInstancesStaysWithinTheLimit)
{
    int taken = 0;
    for (int instance = 0; instance < 6; ++instance) {
        QuotaShares shares = alone();
        for (int peer = 0; peer < 6; ++peer) {
            if (peer != instance)
                shares.setPeerUse(std::to_string(peer), {{"acme", 2}}, 1, now);
        }
        taken += takeAll(shares, limit, now + milliseconds{20});
    }
    CHECK(taken <= 40);
    CHECK(taken >= 25);
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
        std::uint32_t byFirst = 0;
        std::uint32_t bySecond = 0;
        taken += takeInRounds(first, [&](SteadyTime time) {
            first.setPeerUse("second", {{"acme", bySecond}}, 1, time);
            second.setPeerUse("first", {{"acme", byFirst}}, 1, time);
            bySecond += static_cast<std::uint32_t>(takeAll(second, limit, time));
            byFirst = first.ownUse(time)["acme"];
        });
        taken += static_cast<int>(bySecond);
    }
    CHECK(taken <= 40);
    CHECK(taken >= 36);
}

// Guards against a restarted peer whose requests are forgotten.
TEST(QuotaShares, CountsWhatAnEndedProcessSent)
{
    QuotaShares shares = alone();
    shares.setPeerUse("b", {{"acme", 30}}, 1, now);
    const int taken = takeInRounds(shares, [&](SteadyTime time) {
        shares.setPeerUse("b", {{"acme", 2}}, 2, time);
    });
    CHECK_EQUAL(8, taken);
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
