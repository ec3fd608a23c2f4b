#include "system/spacefleet.h"
#include "system/waituntil.h"

#include <cstdio>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A part is found after this many endpoints have ended; a few more requests may be on their way.
constexpr int MaxEnds = 5;
const std::vector<std::string> engineArguments{"--deadly-part", "bad0", "--event-gap-ms", "5"};

// Three instances and three endpoints. An endpoint that ends is replaced by another one, as the
// platform does.
class HarmedFleet
{
public:
    HarmedFleet()
        : m_fleet(3)
    {
        for (int index = 0; index < 3; ++index)
            startEndpoint();
        m_fleet.writeConfig(1, {"key-1"});
        for (int index = 0; index < 3; ++index)
            m_fleet.startInstance(index);
        for (int index = 0; index < 3; ++index)
            CHECK(m_fleet.waitReady(index));
    }

    // Replaces the endpoints that have ended.
    void replaceEnded()
    {
        const std::set<std::string> running = m_running;
        for (const std::string &id : running) {
            if (m_fleet.endpoint(id).isRunning())
                continue;
            ++m_ends;
            m_running.erase(id);
            m_fleet.unregisterEndpoint(id);
            startEndpoint();
        }
    }

    HttpReply send(const std::string &id, const std::string &parts)
    {
        return m_fleet.call(m_next++ % 3, "POST", "/talk/stream/x", id, "hello", "key-1",
                            {{"Prompt-Prefix", parts}});
    }

    int ends() const { return m_ends; }
    SpaceFleet &fleet() { return m_fleet; }

private:
    void startEndpoint()
    {
        const std::string id = "i-" + std::to_string(++m_started);
        m_fleet.startEndpoint(id, engineArguments);
        m_running.insert(id);
    }

    SpaceFleet m_fleet;
    std::set<std::string> m_running;
    int m_started = 0;
    int m_ends = 0;
    int m_next = 0;
};

} // namespace

TEST_GROUP(PromptPart){};

// Guards against a prompt part that ends one endpoint after the other, and against sound requests
// that are rejected because they share another part or the key with it.
TEST(PromptPart, EndsFewEndpointsAndNoSoundRequestIsRejected)
{
    HarmedFleet harmed;
    int rejectedSound = 0;
    for (int request = 0; request < 15; ++request) {
        const std::string name = std::to_string(request);
        harmed.send("bad-" + name, "aa01:200,bad0:40,own" + name + ":250");
        std::this_thread::sleep_for(milliseconds{500});
        harmed.replaceEnded();
        std::this_thread::sleep_for(milliseconds{300});
        const auto sound = harmed.send("good-" + name, "aa01:200,bb02:40,own" + name + ":250");
        rejectedSound += sound.status == 200 ? 0 : 1;
    }
    std::printf("%d endpoints ended, %d sound requests rejected\n", harmed.ends(), rejectedSound);
    CHECK(harmed.ends() <= MaxEnds);
    CHECK_EQUAL(0, rejectedSound);
    const auto rejected = harmed.send("bad-last", "bad0:200,own:250");
    CHECK_EQUAL(503U, rejected.status);
    CHECK(rejected.headers.contains("Retry-After"));
    // As the last part of a prompt it belongs to one request only.
    CHECK_EQUAL(200U, harmed.send("good-last", "aa01:200,bad0:250").status);
}

// Guards against batch items that end endpoints, and that keep the items beside them from running.
TEST(PromptPart, ItemsOfJobsCountToo)
{
    HarmedFleet harmed;
    std::string items;
    for (int item = 0; item < 6; ++item) {
        const std::string part = item % 2 == 0 ? "bad0" : "bb02";
        items += (item == 0 ? "" : ",") + std::string(R"({"id":"item-)") + std::to_string(item)
                + R"(","path":"/batch/stream/1","headers":{"Model":"m","Prompt-Prefix":"aa01:100,)"
                + part + R"(:10,own:9"},"body":"q83v","tokens":9})";
    }
    const std::string job = R"({"items":[)" + items + "]}";
    CHECK_EQUAL(202U, harmed.fleet().call(0, "POST", "/batch/j", "job-1", job).status);
    const bool isSoundDone = waitUntil(seconds{25}, [&harmed] {
        std::this_thread::sleep_for(milliseconds{200});
        harmed.replaceEnded();
        const auto reply = harmed.fleet().call(1, "GET", "/api/lots/job-1?after=0", "read");
        return reply.contains("\"next\":3");
    });
    CHECK(isSoundDone);
    for (int step = 0; step < 20; ++step) {
        std::this_thread::sleep_for(milliseconds{200});
        harmed.replaceEnded();
    }
    std::printf("%d endpoints ended\n", harmed.ends());
    CHECK(harmed.ends() <= MaxEnds + 3);
}

// Guards against sound items that are never sent, because other instances blame the parts that they
// share with an item which has ended endpoints. The order in a report follows the parts' hashes, so
// that four of them stand on either side of the harmful one.
TEST(PromptPart, PeersHoldNoSoundItemsBack)
{
    const std::vector<std::string> soundParts{"aa01", "aa02", "aa03", "aa04"};
    HarmedFleet harmed;
    const auto submit = [&harmed](int instance, const std::string &job, const std::string &parts) {
        const std::string body = R"({"items":[{"id":"item-)" + job
                + R"(","path":"/batch/stream/1","headers":{"Model":"m","Prompt-Prefix":")" + parts
                + R"(,own:9"},"body":"q83v","tokens":9}]})";
        CHECK_EQUAL(202U, harmed.fleet().call(instance, "POST", "/batch/j", job, body).status);
    };
    std::string shared;
    for (const std::string &part : soundParts)
        shared += part + ":100,";
    submit(0, "harmful", shared + "bad0:10");
    CHECK(waitUntil(seconds{15}, [&harmed] {
        std::this_thread::sleep_for(milliseconds{50});
        harmed.replaceEnded();
        return harmed.ends() >= 3;
    }));
    std::this_thread::sleep_for(milliseconds{500});
    for (const std::string &part : soundParts)
        submit(1, "sound-" + part, part + ":100");
    for (const std::string &part : soundParts)
        CHECK(waitUntil(seconds{18}, [&] {
            const std::string target = "/api/lots/sound-" + part + "?after=0";
            return harmed.fleet().call(2, "GET", target, "read").contains("\"next\":1");
        }));
    CHECK(harmed.ends() <= MaxEnds);
}
