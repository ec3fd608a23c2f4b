#include "fleet/versionroles.h"

#include "fleet/endpointpool.h"
#include "fleet/fleetfixture.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace pistachiofall::tests;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Hold{3000};
constexpr int EndpointsOfAVersion = 20;
constexpr int RequestCount = 4000;

} // namespace

TEST_GROUP(VersionRoles)
{
    EndpointPool pool{"east-a-1"};
    SteadyTime now{std::chrono::hours{1}};

    void addVersion(const std::string &version)
    {
        for (int index = 0; index < EndpointsOfAVersion; ++index) {
            FleetEndpoint endpoint = chatEndpoint(version + "-" + std::to_string(index), 8);
            endpoint.version = version;
            pool.update(endpoint, now);
        }
    }

    void setSplit(RolloutPhase phase, double share)
    {
        pool.setVersionSplits({{"chat", {"v2", phase, share}}}, now);
    }

    // The part of requests that version v2 gets, and to how many of its endpoints.
    double partOfTarget(std::set<std::string> & endpoints)
    {
        int count = 0;
        for (int index = 0; index < RequestCount; ++index) {
            const auto placement = pool.placeOnline(
                    {"chat", "east-a", "request-" + std::to_string(index), {}}, now);
            CHECK(placement.has_value());
            if (placement->endpoint.version != "v2")
                continue;
            ++count;
            endpoints.insert(placement->endpoint.id);
        }
        return static_cast<double>(count) / RequestCount;
    }

    double partOfTarget()
    {
        std::set<std::string> endpoints;
        return partOfTarget(endpoints);
    }
};

// What is new takes effect only where rollouts are enabled.
TEST(VersionRoles, VersionsDoNotMatterWithoutRollouts)
{
    addVersion("v1");
    addVersion("v2");
    DOUBLES_EQUAL(0.5, partOfTarget(), 0.05);
}

// Guards against requests at a version before the order that limits them is known.
TEST(VersionRoles, NewVersionIsHeldBackUntilAnOrderCanBeKnown)
{
    pool.enableRollouts(Hold);
    addVersion("v1");
    pool.setVersionSplits({}, now);
    addVersion("v2");
    DOUBLES_EQUAL(0, partOfTarget(), 0);
    now += Hold;
    pool.removeExpired(now);
    DOUBLES_EQUAL(0.5, partOfTarget(), 0.05);
}

// After a restart an instance can not tell which of two versions may serve.
TEST(VersionRoles, TwoVersionsWaitForTheFirstOrders)
{
    pool.enableRollouts(Hold);
    addVersion("v1");
    CHECK(pool.placeOnline({"chat", "east-a", "r1", {}}, now).has_value());
    addVersion("v2");
    CHECK_FALSE(pool.placeOnline({"chat", "east-a", "r1", {}}, now).has_value());
    setSplit(RolloutPhase::Running, 0);
    DOUBLES_EQUAL(0, partOfTarget(), 0);
}

// A small share on few endpoints loads each as much as after the move.
TEST(VersionRoles, ShareIsKeptAndConcentrated)
{
    pool.enableRollouts(Hold);
    addVersion("v1");
    addVersion("v2");
    setSplit(RolloutPhase::Running, 0.2);
    std::set<std::string> endpoints;
    DOUBLES_EQUAL(0.2, partOfTarget(endpoints), 0.02);
    CHECK_EQUAL(4U, endpoints.size());
}

// A caller loses one attempt at most to a faulty version.
TEST(VersionRoles, RequestThatIsSentAgainGoesToThePresentVersion)
{
    pool.enableRollouts(Hold);
    addVersion("v1");
    addVersion("v2");
    setSplit(RolloutPhase::Running, 0.5);
    for (int index = 0; index < 200; ++index) {
        const auto placement = pool.placeOnline(
                {"chat", "east-a", "request-" + std::to_string(index), {"v2-0"}}, now);
        CHECK_EQUAL(std::string("v1"), placement->endpoint.version);
    }
}

// Requests of the present version's share never go to the other one, even if all its slots are
// taken; those of the target's share may go back.
TEST(VersionRoles, FullVersionsDoNotRaiseTheShare)
{
    pool.enableRollouts(Hold);
    addVersion("v1");
    addVersion("v2");
    setSplit(RolloutPhase::Running, 0.2);
    std::map<std::string, EndpointUsage> usage;
    for (int index = 0; index < EndpointsOfAVersion; ++index)
        usage["v1-" + std::to_string(index)] = {8, 0};
    pool.setPeerUsage("east-b-1", usage, now);
    int placed = 0;
    for (int index = 0; index < RequestCount; ++index)
        placed += pool.placeOnline({"chat", "east-a", "request-" + std::to_string(index), {}}, now)
                ? 1
                : 0;
    DOUBLES_EQUAL(0.2, static_cast<double>(placed) / RequestCount, 0.02);
    CHECK_EQUAL(0, pool.availableOnlineSlots("chat", now));
}

TEST(VersionRoles, AllRequestsAtTheWholeShareAndAfterCompletion)
{
    pool.enableRollouts(Hold);
    addVersion("v1");
    addVersion("v2");
    setSplit(RolloutPhase::Running, 1);
    DOUBLES_EQUAL(1, partOfTarget(), 0);
    setSplit(RolloutPhase::Complete, 1);
    DOUBLES_EQUAL(1, partOfTarget(), 0);
    CHECK_EQUAL(EndpointsOfAVersion, pool.endpointCount("chat"));
}

TEST(VersionRoles, NothingGoesToAVersionThatWasTakenBack)
{
    pool.enableRollouts(Hold);
    addVersion("v1");
    addVersion("v2");
    setSplit(RolloutPhase::RolledBack, 0);
    DOUBLES_EQUAL(0, partOfTarget(), 0);
}

// Batch items reach endpoints of the version by the same share.
TEST(VersionRoles, BatchItemsKeepTheShare)
{
    pool.enableRollouts(Hold);
    addVersion("v1");
    addVersion("v2");
    setSplit(RolloutPhase::Running, 0.2);
    int count = 0;
    for (int index = 0; index < RequestCount; ++index) {
        const auto placement = pool.placeBatch(
                {"chat", "east-a", "item-" + std::to_string(index), {}}, {1, 1}, now);
        count += placement->endpoint.version == "v2" ? 1 : 0;
    }
    DOUBLES_EQUAL(0.2, static_cast<double>(count) / RequestCount, 0.02);
}
