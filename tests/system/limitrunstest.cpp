#include "system/floodedfleet.h"
#include "system/storedtable.h"
#include "system/waituntil.h"

#include "coord/coordtimes.h"

#include <csignal>
#include <cstdio>
#include <initializer_list>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

// Half of the burst outweighs the grants that are missing while a place changes its holder.
constexpr FloodLimit Limit{6, 12};
// With three entries four times the rate of each organisation.
constexpr double CallsPerSecond = 8;
// A quarter of what the rates allow; with less the bound would mean nothing.
constexpr double LeastShare = 0.25;

// Counts the runs at the endpoints in every interval of every organisation.
void checkRuns(FloodedFleet &flooded, steady_clock::time_point begin)
{
    const std::chrono::duration<double> length = steady_clock::now() - begin;
    const auto calls = flooded.stop();
    const auto runs = flooded.runsAtEndpoints(calls);
    const double excess = highestExcess(runs, Limit);
    std::printf("answered %zu, runs %zu, highest excess %.2f, length %.1f s\n",
                countAnswered(calls), countAnswered(runs), excess, length.count());
    CHECK(excess <= 0);
    CHECK(static_cast<double>(countAnswered(runs))
          > FloodedFleet::Organisations * Limit.rate * length.count() * LeastShare);
}

void setRoutes(Fleet &fleet, std::initializer_list<const char *> routes, const char *query)
{
    for (const char *route : routes)
        fleet.setFault(route, query);
}

// Nobody reaches instances 0 and 1; a third one is still reached by them. The store is in reach of
// both, then of instance 0 only, and then the list drops instance 1, whose places are taken over.
void separateHolders(int instances)
{
    FloodedFleet flooded({instances, instances, Limit, CallsPerSecond});
    Fleet &fleet = flooded.fleet();
    const auto begin = steady_clock::now();
    setRoutes(fleet, {"peer-0", "peer-1"}, "mode=cut");
    std::this_thread::sleep_for(seconds{6});
    fleet.setFault("store-1", "mode=cut");
    std::this_thread::sleep_for(seconds{4});
    fleet.unlistInstance(1);
    CHECK(waitUntil(seconds{20}, [&] { return placesOf(fleet, 1) == 0; }));
    // The new holder uses the places after TakeoverDelay; then the shares could add up.
    std::this_thread::sleep_for(pistachiofall::TakeoverDelay + seconds{3});
    checkRuns(flooded, begin);
}

} // namespace

TEST_GROUP(LimitRuns){};

// Guards against tokens that a holder grants after its place was given away in a planned stop, and
// against a bucket that starts filled at the instance that takes the place or comes back.
TEST(LimitRuns, NoIntervalExceedsRateAndBurstWhileHoldersStopOneAfterTheOther)
{
    FloodedFleet flooded({3, 3, Limit, CallsPerSecond});
    Fleet &fleet = flooded.fleet();
    const auto begin = steady_clock::now();
    std::this_thread::sleep_for(seconds{1});
    for (int index = 0; index < 3; ++index) {
        CHECK(waitUntil(seconds{10}, [&] { return placesOf(fleet, index) > 0; }));
        fleet.instance(index).signal(SIGTERM);
        CHECK_EQUAL(0, fleet.instance(index).wait(seconds{15}));
        CHECK_EQUAL(0U, placesOf(fleet, index));
        fleet.startInstance(index);
        CHECK(fleet.waitReady(index));
        std::this_thread::sleep_for(seconds{2});
    }
    checkRuns(flooded, begin);
}

// Guards against holders that both grant the whole of a limit when they can't reach each other, and
// against one that goes on granting after its place was taken over.
TEST(LimitRuns, NoIntervalExceedsRateAndBurstWhileHoldersAreSeparated)
{
    separateHolders(3);
}

// Guards against the same in a fleet of two halves, where the one without the store took itself for
// enough of the fleet and granted its share for as long as it was away.
TEST(LimitRuns, NoIntervalExceedsRateAndBurstWhileTheFleetIsSplitInHalves)
{
    separateHolders(2);
}
