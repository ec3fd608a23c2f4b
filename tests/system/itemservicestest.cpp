#include "system/spacefleet.h"
#include "system/waituntil.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using std::chrono::seconds;

namespace {

constexpr int FirstItems = 12;
constexpr int SecondItems = 6;
// The time within which items must be done once the traffic has ended.
constexpr seconds FinishTime{18};
// Longer than FinishTime for all 30 events of an item.
const std::vector<std::string> verySlow{"--event-gap-ms", "1000"};

std::string items(const std::string &job, const std::string &prefix, int count)
{
    std::ostringstream text;
    for (int index = 0; index < count; ++index)
        text << (index == 0 ? "" : ",") << R"({"id":")" << job << "-" << prefix << "-" << index
             << R"(","path":"/)" << prefix
             << R"(/stream/1","headers":{"Model":"m"},"body":"q83v","tokens":9})";
    return text.str();
}

// Two instances, two services with one route for batch jobs each. The endpoints of "chat" are
// sound.
class TwoServices
{
public:
    explicit TwoServices(const std::vector<std::string> &secondArguments = {}, int secondSlots = 4)
        : m_fleet(2)
    {
        m_fleet.startEndpoint("i-first", {"--event-gap-ms", "5"}, 4);
        m_fleet.startEndpoint("i-second", secondArguments, secondSlots, "desk");
        m_fleet.addBatchRoute("desk-batch", "desk");
        m_fleet.writeConfig(1, {"key-1"});
        for (int index = 0; index < 2; ++index)
            m_fleet.startInstance(index);
        for (int index = 0; index < 2; ++index)
            CHECK(m_fleet.waitReady(index));
    }

    SpaceFleet &fleet() { return m_fleet; }

    void submit(int instance, const std::string &job, const std::string &list)
    {
        const std::string body = R"({"items":[)" + list + "]}";
        CHECK_EQUAL(202U, m_fleet.call(instance, "POST", "/batch/j", job, body).status);
    }
    void submitFirst(int instance, const std::string &job)
    {
        submit(instance, job, items(job, "batch", FirstItems));
    }
    void submitSecond(int instance, const std::string &job)
    {
        submit(instance, job, items(job, "desk-batch", SecondItems));
    }
    bool areDone(const std::string &job, int count)
    {
        return waitUntil(FinishTime, [&] {
            const auto reply = m_fleet.call(1, "GET", "/api/lots/" + job + "?after=0", "read");
            return reply.contains("\"next\":" + std::to_string(count));
        });
    }

private:
    SpaceFleet m_fleet;
};

} // namespace

TEST_GROUP(ItemServices){};

// Guards against items whose endpoints are idle and that wait behind those of a service whose only
// endpoint is lost after it has begun to answer them.
TEST(ItemServices, ALostServiceHoldsUpNoOther)
{
    TwoServices services({"--event-gap-ms", "100"});
    services.submitSecond(0, "job-second");
    CHECK(waitUntil(seconds{5}, [&] { return !services.fleet().seen("i-second").empty(); }));
    services.fleet().endpoint("i-second").kill();
    services.fleet().unregisterEndpoint("i-second");
    services.submitFirst(0, "job-first");
    CHECK(services.areDone("job-first", FirstItems));
}

// Guards against the same when the endpoints of the other service are full, whichever job comes
// first, and at an instance that runs none of the waiting items itself.
TEST(ItemServices, AFullServiceHoldsUpNoOther)
{
    TwoServices services(verySlow, 1);
    services.submitFirst(0, "job-before");
    services.submitSecond(0, "job-second");
    services.submitSecond(1, "job-third");
    services.submitFirst(0, "job-after");
    services.submitFirst(1, "job-elsewhere");
    for (const std::string job : {"job-before", "job-after", "job-elsewhere"})
        CHECK(services.areDone(job, FirstItems));
    CHECK(services.fleet().metric(0, "items_waiting{service=\"desk\"}") > 0);
    CHECK(services.fleet().metric(0, "items_waiting{service=\"chat\"}") <= 0);
}

// Guards against a service that never had an endpoint, in one job with items of another service.
TEST(ItemServices, AMissingServiceHoldsUpNoItemsOfTheSameJob)
{
    TwoServices services;
    services.fleet().addBatchRoute("nowhere", "nowhere");
    services.fleet().writeConfig(2, {"key-1"});
    CHECK(waitUntil(seconds{5}, [&] { return services.fleet().metric(0, "config_version") == 2; }));
    const std::string job = "job-mixed";
    services.submit(0, job, items(job, "nowhere", 4) + "," + items(job, "batch", 4));
    CHECK(services.areDone(job, 4));
}
