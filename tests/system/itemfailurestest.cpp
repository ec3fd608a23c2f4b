#include "system/spacefleet.h"
#include "system/waituntil.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Instances = 4;
constexpr int Items = 6;
// As in the configuration of SpaceFleet.
constexpr int Attempts = 3;
const std::string failing = "item-0";

// Four instances, and a job of which one item fails at each run. The others take longer than all
// that happens to their owners.
class FailingItem
{
public:
    explicit FailingItem(unsigned status)
        : m_fleet(Instances)
    {
        m_fleet.startEndpoint("i-1", {"--event-gap-ms", "400"}, 2 * Items);
        m_fleet.failRequest("i-1", failing, status);
        m_fleet.writeConfig(1, {"key-1"});
        for (int index = 0; index < Instances; ++index)
            m_fleet.startInstance(index);
        for (int index = 0; index < Instances; ++index)
            CHECK(m_fleet.waitReady(index));
        std::string items;
        for (int item = 0; item < Items; ++item)
            items += (item == 0 ? "" : ",") + std::string(R"({"id":"item-)") + std::to_string(item)
                    + R"(","path":"/batch/stream/1","headers":{},"body":"q83v","tokens":9})";
        const std::string body = R"({"items":[)" + items + "]}";
        CHECK_EQUAL(202U, m_fleet.call(0, "POST", "/batch/j", "job-1", body).status);
    }

    SpaceFleet &fleet() { return m_fleet; }

    // How often the item has reached the endpoint.
    int runs()
    {
        const std::string seen = "\n" + m_fleet.seen("i-1");
        const std::string line = "\n" + failing + "=";
        const auto found = seen.find(line);
        return found == std::string::npos ? 0 : std::atoi(seen.c_str() + found + line.size());
    }
    // The failures of the item that the store knows.
    int storedFailures()
    {
        const std::string jobs = m_fleet.stored("pistachiofall-jobs");
        const std::string field = R"("count":)";
        const auto found = jobs.find(field);
        return found == std::string::npos ? 0 : std::atoi(jobs.c_str() + found + field.size());
    }
    // The instance that the store names as the owner; -1 without one.
    int owner()
    {
        const std::string jobs = m_fleet.stored("pistachiofall-jobs");
        const std::string name = R"("owner":"gateway-)";
        const auto found = jobs.rfind(name);
        return found == std::string::npos ? -1 : std::atoi(jobs.c_str() + found + name.size());
    }
    // Ends the owner, and waits until another instance has the job. Returns false if none takes it.
    bool loseOwner(int signal)
    {
        const int lost = owner();
        if (signal == SIGKILL)
            m_fleet.instance(lost).kill();
        else
            m_fleet.instance(lost).signal(signal);
        m_lostRuns = runs() - storedFailures();
        return waitUntil(seconds{10}, [this, lost] { return owner() != lost; });
    }
    // The failures that owners had not stored when they were lost.
    int lostRuns() const { return m_lostRuns; }
    bool isListedAsDead(int instance)
    {
        return waitUntil(seconds{10}, [this, instance] {
            const auto reply = m_fleet.call(instance, "GET", "/api/lots/job-1?after=0", "read");
            return reply.contains(R"("id":"item-0","state":"dead")");
        });
    }

private:
    SpaceFleet m_fleet;
    int m_lostRuns = 0;
};

} // namespace

TEST_GROUP(ItemFailures){};

// Guards against an item that can never be done and that each new owner of its job sends again.
TEST(ItemFailures, AnItemThatCanNotBeDoneIsNotSentByTheNextOwner)
{
    FailingItem item(422);
    CHECK(waitUntil(seconds{5}, [&item] { return item.runs() == 1; }));
    for (int loss = 0; loss < Instances - 1; ++loss) {
        std::this_thread::sleep_for(milliseconds{300});
        CHECK(item.loseOwner(SIGKILL));
    }
    std::this_thread::sleep_for(seconds{1});
    CHECK_EQUAL(1, item.runs());
    CHECK(item.isListedAsDead(item.owner()));
}

// Guards against the same after a planned stop of the owner.
TEST(ItemFailures, AnItemThatCanNotBeDoneIsNotSentAfterAPlannedStop)
{
    FailingItem item(422);
    CHECK(waitUntil(seconds{5}, [&item] { return item.runs() == 1; }));
    for (int loss = 0; loss < 2; ++loss)
        CHECK(item.loseOwner(SIGTERM));
    std::this_thread::sleep_for(seconds{1});
    CHECK_EQUAL(1, item.runs());
    CHECK(item.isListedAsDead(item.owner()));
}

// Guards against failures that are counted anew by each owner. Only runs that were under way when
// an owner was lost may come on top.
TEST(ItemFailures, FailuresOfEarlierOwnersCountTowardsTheAttempts)
{
    FailingItem item(500);
    for (int loss = 1; loss < Attempts; ++loss) {
        CHECK(waitUntil(seconds{5}, [&item, loss] { return item.storedFailures() >= loss; }));
        CHECK(item.loseOwner(SIGKILL));
    }
    CHECK(item.isListedAsDead(item.owner()));
    std::printf("%d runs, %d of them lost\n", item.runs(), item.lostRuns());
    CHECK_EQUAL(Attempts + item.lostRuns(), item.runs());
}

// Guards against an item that has failed and is sent again before the store knows of it, so that
// the failures of an owner that is lost during an outage of the store are forgotten.
TEST(ItemFailures, AFailedItemWaitsForTheStore)
{
    FailingItem item(500);
    CHECK(waitUntil(seconds{5}, [&item] { return item.runs() > 0; }));
    item.fleet().setStore("down");
    std::this_thread::sleep_for(milliseconds{300});
    const int runs = item.runs();
    std::this_thread::sleep_for(seconds{2});
    CHECK(item.runs() <= runs + 1);
    item.fleet().setStore("ok");
    CHECK(item.isListedAsDead(1));
    CHECK_EQUAL(Attempts, item.runs());
}
