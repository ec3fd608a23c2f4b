#include "fleet/quotalimiter.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(QuotaLimiter)
{
    SteadyTime now{std::chrono::hours{1}};
    // 40 requests in a window of 5 s.
    QuotaLimiter::Limit limit{6, 10};

    static int takeAll(QuotaLimiter & limiter, const QuotaLimiter::Limit &limit, SteadyTime now)
    {
        int taken = 0;
        while (taken < 1000 && limiter.tryAcquire("acme", limit, now))
            ++taken;
        return taken;
    }

    // Peers report every 25 ms. Between two reports an instance admits its equal part only.
    int takeInRounds(QuotaLimiter & limiter, const std::function<void(SteadyTime)> &report)
    {
        int taken = 0;
        for (int round = 0; round < 40; ++round) {
            const auto time = now + seconds{1} + milliseconds{25} * round;
            report(time);
            taken += takeAll(limiter, limit, time);
        }
        return taken;
    }

    QuotaLimiter alone()
    {
        QuotaLimiter limiter(seconds{5});
        limiter.setHistoryKnown(true, now);
        return limiter;
    }
};

// Guards against an organisation that exceeds its rate and burst within a window.
TEST(QuotaLimiter, GrantsTheWholeLimitToASingleInstance)
{
    QuotaLimiter limiter = alone();
    CHECK_EQUAL(40, takeAll(limiter, limit, now));
    CHECK_EQUAL(0, takeAll(limiter, limit, now + seconds{4}));
    CHECK_EQUAL(40, takeAll(limiter, limit, now + seconds{6}));
}

// Guards against two instances that each give the whole limit.
TEST(QuotaLimiter, CountsRequestsOfPeers)
{
    QuotaLimiter limiter = alone();
    limiter.setPeerUsage("b", {{"acme", 30}}, 1, now);
    // Half of the remaining limit until the next report of the peer.
    const int atOnce = takeAll(limiter, limit, now);
    CHECK_EQUAL(5, atOnce);
    const int later = takeInRounds(limiter, [&](SteadyTime time) {
        limiter.setPeerUsage("b", {{"acme", 30}}, 1, time);
    });
    CHECK_EQUAL(10, atOnce + later);
}

// Guards against a burst that reaches all instances before their next reports.
TEST(QuotaLimiter, ABurstAtAllInstancesStaysWithinTheLimit)
{
    int taken = 0;
    for (int instance = 0; instance < 6; ++instance) {
        QuotaLimiter limiter = alone();
        for (int peer = 0; peer < 6; ++peer) {
            if (peer != instance)
                limiter.setPeerUsage(std::to_string(peer), {{"acme", 2}}, 1, now);
        }
        taken += takeAll(limiter, limit, now + milliseconds{20});
    }
    CHECK(taken <= 40);
    CHECK(taken >= 25);
}

// Guards against a network partition in which both sides grant the whole limit.
TEST(QuotaLimiter, PartitionsTogetherStayWithinTheLimit)
{
    int taken = 0;
    for (int half = 0; half < 2; ++half) {
        // Each side has two instances that receive each other's reports and know of two peers whose
        // reports are missing.
        QuotaLimiter first = alone();
        QuotaLimiter second = alone();
        for (QuotaLimiter *limiter : {&first, &second}) {
            limiter->addPeer("far-1");
            limiter->addPeer("far-2");
        }
        std::uint32_t byFirst = 0;
        std::uint32_t bySecond = 0;
        taken += takeInRounds(first, [&](SteadyTime time) {
            first.setPeerUsage("second", {{"acme", bySecond}}, 1, time);
            second.setPeerUsage("first", {{"acme", byFirst}}, 1, time);
            bySecond += static_cast<std::uint32_t>(takeAll(second, limit, time));
            byFirst = first.localUsage(time)["acme"];
        });
        taken += static_cast<int>(bySecond);
    }
    CHECK(taken <= 40);
    CHECK(taken >= 36);
}

// Guards against a restarted peer whose requests are forgotten.
TEST(QuotaLimiter, CountsRequestsOfAPreviousProcess)
{
    QuotaLimiter limiter = alone();
    limiter.setPeerUsage("b", {{"acme", 30}}, 1, now);
    const int taken = takeInRounds(limiter, [&](SteadyTime time) {
        limiter.setPeerUsage("b", {{"acme", 2}}, 2, time);
    });
    CHECK_EQUAL(8, taken);
}

// Guards against a stopped peer whose equal part stays unavailable to the others.
TEST(QuotaLimiter, AStoppedPeerReservesNoPart)
{
    QuotaLimiter limiter = alone();
    limiter.setPeerUsage("b", {{"acme", 4}}, 1, now);
    limiter.peerStopped("b", now);
    CHECK_EQUAL(36, takeAll(limiter, limit, now + seconds{2}));
}

// Guards against a second burst after all instances were killed together.
TEST(QuotaLimiter, GrantsNoBurstWithoutHistory)
{
    QuotaLimiter limiter(seconds{5});
    limiter.setHistoryKnown(false, now);
    CHECK_EQUAL(3, takeAll(limiter, limit, now));
    limiter.setHistoryKnown(false, now + seconds{2});
    CHECK_EQUAL(12, takeAll(limiter, limit, now + seconds{2}));
}
