#include "system/loadloop.h"
#include "system/spacefleet.h"
#include "system/waituntil.h"

#include <atomic>
#include <cstdio>
#include <sstream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using std::chrono::seconds;

namespace {

// What the instance is told to have.
constexpr int MemoryMegabytes = 128;
constexpr int Callers = 24;
constexpr int Items = 12;

std::string job(const std::string &prefix)
{
    std::ostringstream items;
    for (int item = 0; item < Items; ++item)
        items << (item == 0 ? "" : ",") << R"({"id":")" << prefix << item << R"(","path":"/)"
              << prefix << R"(/stream/1","headers":{},"body":"q83v","tokens":9})";
    return R"({"items":[)" + items.str() + "]}";
}

} // namespace

TEST_GROUP(EndlessAnswers){};

// Guards against many answers without an end that together take the memory of an instance, so that
// the requests of other callers end with it. The answers are those to requests, to items, and
// events that are never complete.
TEST(EndlessAnswers, ManyTogetherLeaveMemoryForOthers)
{
    for (const std::string mode :
         {"endless-length", "endless-chunks", "endless-close", "endless-error"}) {
        SpaceFleet fleet(1);
        fleet.startEndpoint("i-faulty", {}, 2 * Callers);
        fleet.startEndpoint("i-sound", {}, 4, "desk");
        fleet.addBatchRoute("desk-batch", "desk");
        fleet.writeConfig(1, {"key-1"});
        fleet.setMemory(MemoryMegabytes);
        fleet.startInstance(0);
        CHECK(fleet.waitReady(0));
        fleet.setAnswers("i-faulty", mode, 1000000);
        std::atomic<int> next{0};
        LoadLoop load(Callers, 1, [&](int caller, int) {
            const std::string id = "r" + std::to_string(next++);
            return fleet.call(0, "POST", caller % 2 == 0 ? "/once/x" : "/talk/stream/x", id, "hi");
        });
        CHECK_EQUAL(202U, fleet.call(0, "POST", "/batch/j", "job-1", job("batch")).status);
        std::this_thread::sleep_for(seconds{3});
        CHECK_EQUAL(202U, fleet.call(0, "POST", "/batch/j", "job-2", job("desk-batch")).status);
        CHECK(waitUntil(seconds{18}, [&fleet] {
            const auto reply = fleet.call(0, "GET", "/api/lots/job-2?after=0", "read");
            return reply.contains("\"next\":" + std::to_string(Items));
        }));
        load.stop();
        std::printf("%s: peak %d MB\n", mode.c_str(), fleet.instance(0).peakMegabytes());
        CHECK(fleet.instance(0).isRunning());
        CHECK(fleet.instance(0).peakMegabytes() < MemoryMegabytes);
    }
}
