#include "system/spacefleet.h"
#include "system/waituntil.h"

#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

constexpr int Instances = 3;
constexpr int Ends = 3;
// From the fifth end on, few requests with the part may reach endpoints.
constexpr int ManyEnds = 5;
// Work that can be done is not held back for longer beside idle endpoints (finish_s).
constexpr seconds FinishTime{18};
// Before its part is quarantined, an item is sent within this time.
constexpr seconds FirstSendTime{10};
// After an end, the item is ready again and held back within this time.
constexpr seconds HoldTime{5};

// A fleet whose endpoints take long to their first event, so that one can be ended before it.
class CoincidentEnds
{
public:
    CoincidentEnds()
        : m_fleet(Instances)
    {
        for (int index = 0; index < 4; ++index)
            startEndpoint();
        m_fleet.writeConfig(1, {"key-1"});
        for (int index = 0; index < Instances; ++index)
            m_fleet.startInstance(index);
        for (int index = 0; index < Instances; ++index)
            CHECK(m_fleet.waitReady(index));
    }

    void submit(int instance, const std::string &job, const std::string &part)
    {
        const std::string body = R"({"items":[{"id":"item-)" + job
                + R"(","path":"/batch/stream/1","headers":{"Model":"m","Prompt-Prefix":")" + part
                + R"(:100,own:9"},"body":"q83v","tokens":9}]})";
        CHECK_EQUAL(202U, m_fleet.call(instance, "POST", "/batch/j", job, body).status);
    }

    // Ends the endpoint that has the item, and starts another one in its place. The item is sent
    // within the time.
    void endEndpointOf(const std::string &job, seconds sendTime = FirstSendTime)
    {
        std::string holder;
        CHECK(waitUntil(sendTime, [&] {
            for (const std::string &id : m_running) {
                if (m_fleet.seen(id).find("item-" + job + "=") != std::string::npos)
                    holder = id;
            }
            return !holder.empty();
        }));
        m_fleet.endpoint(holder).kill();
        std::erase(m_running, holder);
        m_fleet.unregisterEndpoint(holder);
        startEndpoint();
    }

    bool isComplete(const std::string &job)
    {
        const std::string target = "/api/lots/" + job + "?after=0";
        return m_fleet.call(1, "GET", target, "read").contains("\"next\":1");
    }

    bool holdsBackItem(int instance) { return m_fleet.metric(instance, "items_held_back") == 1; }

    SpaceFleet &fleet() { return m_fleet; }

private:
    void startEndpoint()
    {
        const std::string id = "i-" + std::to_string(++m_started);
        m_fleet.startEndpoint(id, {"--event-gap-ms", "400", "--events", "6"});
        m_running.push_back(id);
    }

    SpaceFleet m_fleet;
    std::vector<std::string> m_running;
    int m_started = 0;
};

} // namespace

TEST_GROUP(HeldPart){};

// Guards against a sound item that is never sent again after endpoints have ended with it for
// reasons of their own: by whichever instance it is owned, its part is tested in time.
TEST(HeldPart, ASoundItemIsSentAgainWhicheverInstanceOwnsIt)
{
    CoincidentEnds ends;
    for (int instance = 0; instance < Instances; ++instance) {
        const std::string job = "job-" + std::to_string(instance);
        ends.submit(instance, job, "aa0" + std::to_string(instance));
        for (int end = 0; end < Ends; ++end)
            ends.endEndpointOf(job);
        const auto begin = steady_clock::now();
        CHECK(waitUntil(FinishTime, [&] { return ends.isComplete(job); }));
        const auto held =
                std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin).count();
        std::printf("owner %d: complete after %lld ms\n", instance, static_cast<long long>(held));
    }
}

// Guards against the same when the owner is lost while the part is held back.
TEST(HeldPart, ASoundItemIsSentAgainByTheNextOwner)
{
    CoincidentEnds ends;
    ends.submit(0, "job-0", "aa00");
    for (int end = 0; end < Ends; ++end)
        ends.endEndpointOf("job-0");
    std::this_thread::sleep_for(seconds{1});
    ends.fleet().instance(0).kill();
    CHECK(waitUntil(FinishTime, [&ends] { return ends.isComplete("job-0"); }));
}

// Guards against sound items that are held back for longer after many ends: the one under which the
// endpoints ended, and those of other jobs and instances that share its part.
TEST(HeldPart, SoundItemsAreSentAgainAfterManyEnds)
{
    CoincidentEnds ends;
    ends.submit(0, "job-0", "aa00");
    for (int end = 0; end < ManyEnds; ++end)
        ends.endEndpointOf("job-0", end < Ends ? FirstSendTime : FinishTime);
    const auto begin = steady_clock::now();
    ends.submit(1, "job-1", "aa00");
    ends.submit(2, "job-2", "aa00");
    // It would not be if an endpoint had answered before it was ended.
    CHECK(waitUntil(HoldTime, [&ends] { return ends.holdsBackItem(0); }));
    for (const char *job : {"job-0", "job-1", "job-2"}) {
        const auto left = FinishTime - (steady_clock::now() - begin);
        CHECK(waitUntil(std::chrono::duration_cast<milliseconds>(left),
                        [&] { return ends.isComplete(job); }));
    }
}
