#include "fleet/recentfailures.h"

#include "fleet/endpointpool.h"
#include "fleet/fleetfixture.h"

#include <cstdio>
#include <map>
#include <memory>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace pistachiofall::tests;
using std::chrono::milliseconds;

namespace {

constexpr unsigned Seed = 5;

// 12 instances before 16 endpoints, 2 of which fail 40% of their requests at once. Returns the part
// of the requests that failed.
double playFaultyEndpoints(bool sharesFailures)
{
    constexpr int Instances = 12;
    constexpr int Endpoints = 16;
    constexpr int Faulty = 2;
    std::mt19937 random(Seed);
    std::bernoulli_distribution fails(0.4);
    SteadyTime now{std::chrono::hours{1}};
    std::vector<std::unique_ptr<EndpointPool>> pools;
    for (int instance = 0; instance < Instances; ++instance) {
        pools.push_back(std::make_unique<EndpointPool>("instance-" + std::to_string(instance)));
        if (sharesFailures)
            pools.back()->shareFailures();
        for (int endpoint = 0; endpoint < Endpoints; ++endpoint)
            pools.back()->update(chatEndpoint("e" + std::to_string(endpoint), 8), now);
    }
    int failed = 0;
    constexpr int Requests = 4000;
    for (int request = 0; request < Requests; ++request) {
        now += milliseconds{5};
        EndpointPool &pool = *pools[random() % Instances];
        const auto placement =
                pool.placeOnline({"chat", "east-a", "r" + std::to_string(request), {}}, now);
        const std::string &id = placement->endpoint.id;
        const bool isFaulty = id == "e0" || id == "e1";
        if (isFaulty && fails(random)) {
            ++failed;
            pool.recordFailure(id, now);
            pool.recordAnswer({placement->endpoint, 1, true, {}}, now);
        } else {
            pool.recordSuccess(id);
        }
        if (request % 20 != 0)
            continue;
        for (const auto &each : pools)
            each->removeExpired(now);
        for (int from = 0; from < Instances; ++from) {
            const auto marks = pools[static_cast<std::size_t>(from)]->failures().own(now);
            for (int to = 0; to < Instances; ++to) {
                if (from != to)
                    pools[static_cast<std::size_t>(to)]->failures().setPeer(std::to_string(from),
                                                                            marks);
            }
        }
    }
    std::printf("%s: %d of %d requests failed at %d faulty endpoints\n",
                sharesFailures ? "shared failures" : "own failures", failed, Requests, Faulty);
    return static_cast<double>(failed) / Requests;
}

} // namespace

TEST_GROUP(RecentFailures)
{
    RecentFailures failures;
    SteadyTime now{std::chrono::hours{1}};
};

TEST(RecentFailures, OneFailureIsTolerated)
{
    failures.record(1, now);
    DOUBLES_EQUAL(1, failures.weight(1), 0);
    failures.record(1, now);
    CHECK(failures.weight(1) < 0.5);
    DOUBLES_EQUAL(1, failures.weight(2), 0);
}

// Guards against an endpoint that is avoided after its fault has ended.
TEST(RecentFailures, AreForgotten)
{
    for (int failure = 0; failure < 5; ++failure)
        failures.record(1, now);
    CHECK_EQUAL(1U, failures.own(now).size());
    CHECK(failures.own(now + RecentFailures::Memory + milliseconds{1}).empty());
    DOUBLES_EQUAL(1, failures.weight(1), 0);
}

// Guards against failures that count again with each report.
TEST(RecentFailures, ReportsReplaceEachOther)
{
    failures.setPeer("east-a-2", {{1, 3}});
    failures.setPeer("east-a-2", {{1, 3}});
    const double weight = failures.weight(1);
    failures.setPeer("east-a-3", {{1, 2}});
    CHECK(failures.weight(1) < weight);
    failures.setPeer("east-a-3", {});
    DOUBLES_EQUAL(weight, failures.weight(1), 0);
    failures.setPeer("east-a-2", {});
    DOUBLES_EQUAL(1, failures.weight(1), 0);
}

// The load: endpoints that fail a part of their requests at once, so that they always have room.
TEST(RecentFailures, FewerCallersMeetFaultyEndpoints)
{
    const double before = playFaultyEndpoints(false);
    const double after = playFaultyEndpoints(true);
    CHECK(after < before / 3);
}
