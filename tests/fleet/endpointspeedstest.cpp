#include "fleet/endpointspeeds.h"

#include "fleet/endpointpool.h"
#include "fleet/fleetfixture.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace pistachiofall::tests;

namespace {

constexpr std::uint64_t Route = 1;
constexpr unsigned Seed = 11;

EndpointAnswer answer(const FleetEndpoint &endpoint, double milliseconds, bool isFailure = false)
{
    return {endpoint, Route, isFailure, std::chrono::duration<double>(milliseconds / 1000)};
}

} // namespace

TEST_GROUP(EndpointSpeeds)
{
    EndpointSpeeds speeds;
    std::mt19937 random{Seed};
    FleetEndpoint slow = chatEndpoint("slow", 8);
    FleetEndpoint ordinary = chatEndpoint("ordinary", 8);
    FleetEndpoint fast = chatEndpoint("fast", 8);

    double speedOf(const FleetEndpoint &endpoint)
    {
        return speeds.speed(EndpointSpeeds::keyOf(endpoint));
    }

    // Answers of three endpoints with speeds of 0.6, 1 and 1.6, and noise of a quarter.
    void play(EndpointSpeeds & target, int rounds)
    {
        std::uniform_real_distribution<double> noise(0.75, 1.25);
        for (int round = 0; round < rounds; ++round) {
            target.record(answer(slow, 40 / 0.6 * noise(random)));
            target.record(answer(ordinary, 40 * noise(random)));
            target.record(answer(fast, 40 / 1.6 * noise(random)));
        }
    }
};

TEST(EndpointSpeeds, AreLearnedFromAnswers)
{
    play(speeds, 60);
    DOUBLES_EQUAL(1.6 / 0.6, speedOf(fast) / speedOf(slow), 0.4);
}

// Guards against differences that are only noise.
TEST(EndpointSpeeds, EqualEndpointsStayEqual)
{
    std::uniform_real_distribution<double> noise(0.75, 1.25);
    for (int round = 0; round < 60; ++round) {
        for (const FleetEndpoint &endpoint : {slow, ordinary, fast})
            speeds.record(answer(endpoint, 40 * noise(random)));
    }
    DOUBLES_EQUAL(1, speedOf(slow), 0);
    DOUBLES_EQUAL(1, speedOf(fast), 0);
}

TEST(EndpointSpeeds, FewAnswersAndFailuresSayNothing)
{
    for (int round = 0; round < 3; ++round) {
        speeds.record(answer(ordinary, 40));
        speeds.record(answer(slow, 120));
    }
    for (int round = 0; round < 20; ++round)
        speeds.record(answer(slow, 900, true));
    DOUBLES_EQUAL(1, speedOf(slow), 0);
}

// An instance that sends little learns from its peers; a report that comes twice counts once.
TEST(EndpointSpeeds, AreSharedWithPeers)
{
    EndpointSpeeds peer;
    play(peer, 30);
    const auto samples = peer.changedSince(0, 64);
    CHECK_EQUAL(3U, samples.size());
    speeds.setPeer("east-b-1", samples);
    const double once = speedOf(fast);
    speeds.setPeer("east-b-1", samples);
    CHECK(once > 1.2);
    DOUBLES_EQUAL(once, speedOf(fast), 1e-9);
    CHECK(peer.changedSince(peer.version(), 64).empty());
}

// Guards against a speed that outlives the process which had it.
TEST(EndpointSpeeds, EndWithTheProcess)
{
    EndpointPool pool("east-a-1");
    SteadyTime now{std::chrono::hours{1}};
    pool.learnSpeeds();
    for (const FleetEndpoint &endpoint : {slow, ordinary, fast})
        pool.update(endpoint, now);
    for (int round = 0; round < 60; ++round) {
        pool.recordAnswer(answer(slow, 80), now);
        pool.recordAnswer(answer(fast, 25), now);
    }
    CHECK(pool.speeds().speed(EndpointSpeeds::keyOf(slow)) < 0.9);
    FleetEndpoint successor = slow;
    successor.startedAt = 7;
    pool.update(successor, now);
    DOUBLES_EQUAL(1, pool.speeds().speed(EndpointSpeeds::keyOf(slow)), 0);
    // An answer of the process before it counts no more.
    pool.recordAnswer(answer(slow, 80), now);
    DOUBLES_EQUAL(1, pool.speeds().speed(EndpointSpeeds::keyOf(successor)), 0);
}

// The load: more requests than the slow endpoints take. Fast ones get more of them.
TEST(EndpointSpeeds, FastEndpointsGetMoreRequests)
{
    EndpointPool pool("east-a-1");
    SteadyTime now{std::chrono::hours{1}};
    pool.learnSpeeds();
    for (const FleetEndpoint &endpoint : {slow, ordinary, fast})
        pool.update(endpoint, now);
    play(pool.speeds(), 60);
    pool.removeExpired(now);
    std::map<std::string, int> counts;
    for (int index = 0; index < 3000; ++index)
        ++counts[pool.placeOnline({"chat", "east-a", std::to_string(index), {}}, now)->endpoint.id];
    CHECK(counts["fast"] > 2 * counts["ordinary"]);
    CHECK(counts["ordinary"] > 2 * counts["slow"]);
    CHECK(counts["slow"] > 0);
}
