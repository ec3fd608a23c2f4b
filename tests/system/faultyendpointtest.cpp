#include "common/sealedengine.h"
#include "system/spacefleet.h"
#include "system/waituntil.h"

#include <cstdio>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using pistachiofall::standins::SealedEngine;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// What an instance may use beyond a process at rest, which has about 15 MB.
constexpr int MaxMegabytes = 100;
const std::vector<std::string> endlessModes{"endless-head", "endless-interim", "endless-events",
                                            "endless-bytes"};

void startOne(SpaceFleet &fleet, const std::vector<std::string> &endpoints)
{
    for (const std::string &id : endpoints)
        fleet.startEndpoint(id, {"--event-gap-ms", "5"});
    fleet.writeConfig(1, {"key-1"});
    fleet.startInstance(0);
    CHECK(fleet.waitReady(0));
}

// Whether the stream has each event once, in order, and nothing else.
bool isWholeStream(const std::string &body, const std::string &request)
{
    std::string expected;
    for (int event = 1; event <= 30; ++event)
        expected += "id: " + std::to_string(event)
                + "\ndata: " + SealedEngine::eventData(request, event) + "\n\n";
    return body == expected;
}

} // namespace

TEST_GROUP(FaultyEndpoint){};

// Guards against an earlier refusal, sent once more on a kept connection, that is taken for the
// answer to a request which runs.
TEST(FaultyEndpoint, RefusalThatComesAgainIsNotTheAnswerToTheNextAttempt)
{
    SpaceFleet fleet(1);
    startOne(fleet, {"i-1"});
    fleet.setAnswers("i-1", "refuse-again");
    CHECK_EQUAL(200U, fleet.call(0, "POST", "/plain/x", "r1", "hello").status);
    STRCMP_EQUAL("r1=1\n", fleet.seen("i-1").c_str());
    fleet.setAnswers("i-1", "refuse-again");
    CHECK_EQUAL(200U, fleet.call(0, "POST", "/once/x", "r2", "hello").status);
    STRCMP_EQUAL("r1=1\nr2=1\n", fleet.seen("i-1").c_str());
    fleet.setAnswers("i-1", "refuse-again");
    CHECK_EQUAL(200U, fleet.call(0, "POST", "/talk/stream/x", "r3", "hello").status);
    STRCMP_EQUAL("r1=1\nr2=1\nr3=1\n", fleet.seen("i-1").c_str());
}

// Guards against the text of an error in the middle of a stream.
TEST(FaultyEndpoint, ErrorOfTheNextEndpointIsNotPartOfTheStream)
{
    SpaceFleet fleet(1);
    startOne(fleet, {"i-1", "i-2"});
    for (const char *id : {"i-1", "i-2"})
        fleet.cutNextStream(id, 5);
    std::thread faults([&fleet] {
        std::this_thread::sleep_for(milliseconds{10});
        for (const char *id : {"i-1", "i-2"})
            fleet.setAnswers(id, "error");
    });
    const auto reply = fleet.call(0, "POST", "/talk/stream/x", "r1", "hello");
    faults.join();
    CHECK(!reply.contains("broken"));
    CHECK(!reply.contains("HTTP/1.1"));
    CHECK(reply.status == 0 || isWholeStream(reply.body, "r1"));
}

// Guards against a stream that ends as if it were complete because the next endpoint answered with
// something that is no stream.
TEST(FaultyEndpoint, EmptyAnswerOfTheNextEndpointDoesNotCompleteTheStream)
{
    SpaceFleet fleet(1);
    startOne(fleet, {"i-1", "i-2"});
    for (const char *id : {"i-1", "i-2"})
        fleet.cutNextStream(id, 5);
    std::thread faults([&fleet] {
        std::this_thread::sleep_for(milliseconds{10});
        for (const char *id : {"i-1", "i-2"})
            fleet.setAnswers(id, "empty");
    });
    const auto reply = fleet.call(0, "POST", "/talk/stream/x", "r1", "hello");
    faults.join();
    CHECK(reply.status == 0 || isWholeStream(reply.body, "r1"));
}

// Guards against a stream without length or chunks that is not passed on whole, or that counts as
// whole although it ended inside an event.
TEST(FaultyEndpoint, StreamThatEndsWithItsConnection)
{
    SpaceFleet fleet(1);
    startOne(fleet, {"i-1"});
    fleet.setAnswers("i-1", "close");
    CHECK(isWholeStream(fleet.call(0, "POST", "/talk/stream/x", "r1", "hello").body, "r1"));
    fleet.setAnswers("i-1", "close");
    fleet.cutNextStream("i-1", 7);
    const auto reply = fleet.call(0, "POST", "/talk/stream/x", "r2", "hello");
    CHECK(isWholeStream(reply.body, "r2"));
    fleet.setAnswers("i-1", "close");
    const auto plain = fleet.call(0, "POST", "/plain/x", "r3", "hello");
    STRCMP_EQUAL("hello", plain.body.c_str());
}

// Guards against an answer without an end that takes the memory of an instance, or a request that
// does not end by its deadline.
TEST(FaultyEndpoint, AnswersWithoutAnEndToRequestsAreCutOff)
{
    SpaceFleet fleet(1);
    startOne(fleet, {"i-1"});
    for (const std::string &mode : endlessModes) {
        for (const char *target : {"/plain/x", "/talk/stream/x"}) {
            fleet.setAnswers("i-1", mode);
            const auto reply = fleet.call(0, "POST", target, mode + target, "hello");
            std::printf("%s %s: %s\n", mode.c_str(), target, reply.failure.c_str());
            CHECK(reply.elapsed < seconds{9});
            CHECK(reply.status == 0 || !reply.contains("xxxx"));
        }
    }
    std::printf("peak %d MB\n", fleet.instance(0).peakMegabytes());
    CHECK(fleet.instance(0).peakMegabytes() < MaxMegabytes);
}

// Guards against a batch item that is never finished and takes the memory of its owner.
TEST(FaultyEndpoint, AnswersWithoutAnEndToItemsAreCutOff)
{
    SpaceFleet fleet(1);
    startOne(fleet, {"i-1"});
    int number = 0;
    for (const std::string &mode : endlessModes) {
        fleet.setAnswers("i-1", mode);
        const std::string id = "job-" + std::to_string(++number);
        const std::string job = R"({"items":[{"id":"a","path":"/batch/stream/1","headers":)"
                                R"({"Model":"m"},"body":"q83v","tokens":9}]})";
        CHECK_EQUAL(202U, fleet.call(0, "POST", "/batch/j", id, job).status);
        CHECK(waitUntil(seconds{8}, [&fleet, &id] {
            const auto reply = fleet.call(0, "GET", "/api/lots/" + id + "?after=0", "read");
            return reply.contains("\"complete\"");
        }));
    }
    std::printf("peak %d MB\n", fleet.instance(0).peakMegabytes());
    CHECK(fleet.instance(0).peakMegabytes() < MaxMegabytes);
}

// Guards against a success with an empty or short body for an answer whose head was cut off.
TEST(FaultyEndpoint, AnswerThatEndsInItsHeadIsNoSuccess)
{
    SpaceFleet fleet(1);
    startOne(fleet, {"i-1"});
    // At least as long as each head.
    constexpr int HeadBytes = 140;
    constexpr int AllAttempts = 20;
    const std::vector<std::string> targets{"/plain/x", "/talk/stream/x", "/once/x"};
    for (int bytes = 0; bytes < HeadBytes; bytes += 9) {
        for (std::size_t index = 0; index < targets.size(); ++index) {
            // The endpoint is tried again after its backoff.
            fleet.setAnswers("i-1", "", 0);
            CHECK(waitUntil(seconds{5}, [&fleet] {
                return fleet.call(0, "POST", "/plain/x", "whole", "hello").body == "hello";
            }));
            const std::string id = "cut-" + std::to_string(bytes) + "-" + std::to_string(index);
            fleet.setAnswers("i-1", "cut-head-" + std::to_string(bytes), AllAttempts);
            const auto reply = fleet.call(0, "POST", targets[index], id, "hello");
            CHECK(fleet.seen("i-1").find(id + "=") != std::string::npos);
            CHECK_TEXT(reply.status == 0 || reply.status >= 500, id.c_str());
        }
    }
}

// Guards against a stalled stream that sends a byte now and then and never ends, so that its caller
// waits until the deadline.
TEST(FaultyEndpoint, StreamThatOnlySendsBytesGoesOnElsewhere)
{
    SpaceFleet fleet(1);
    startOne(fleet, {"i-1"});
    fleet.setAnswers("i-1", "trickle");
    const auto reply = fleet.call(0, "POST", "/talk/stream/x", "r1", "hello");
    std::printf("whole after %lld ms\n", static_cast<long long>(reply.elapsed.count()));
    CHECK(isWholeStream(reply.body, "r1"));
}

// Guards against a batch item that waits for such a stream for good.
TEST(FaultyEndpoint, ItemWhoseStreamOnlySendsBytesGoesOnElsewhere)
{
    SpaceFleet fleet(1);
    startOne(fleet, {"i-1"});
    fleet.setAnswers("i-1", "trickle");
    const std::string job = R"({"items":[{"id":"a","path":"/batch/stream/1","headers":)"
                            R"({"Model":"m"},"body":"q83v","tokens":9}]})";
    CHECK_EQUAL(202U, fleet.call(0, "POST", "/batch/j", "job-1", job).status);
    CHECK(waitUntil(seconds{8}, [&fleet] {
        const auto reply = fleet.call(0, "GET", "/api/lots/job-1?after=0", "read");
        return reply.contains("\"complete\"");
    }));
}
