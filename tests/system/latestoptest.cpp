#include "http/rawclient.h"
#include "system/spacefleet.h"
#include "system/waituntil.h"

#include <csignal>
#include <cstdio>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Of the settings' default, and what the answer to a request may take at the end of it.
constexpr seconds Grace{8};
// 30 events: 4.5 s.
const std::vector<std::string> slowStreams{"--event-gap-ms", "150"};

void startOne(SpaceFleet &fleet)
{
    fleet.startEndpoint("i-1", slowStreams, 8);
    fleet.writeConfig(1, {"key-1"});
    fleet.startInstance(0);
    CHECK(fleet.waitReady(0));
}

std::string request(const std::string &target, const std::string &id)
{
    return "POST " + target + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer key-1\r\nContent-Length: 5\r\n\r\n"
              "hello";
}

} // namespace

TEST_GROUP(LateStop){};

// Guards against a request that comes late in a planned stop, on a connection kept open by an
// earlier answer, is passed on and cut at the end of the grace period.
TEST(LateStop, ARequestThatCanNotBeAnsweredInTimeIsRefusedAtOnce)
{
    for (const std::string target : {"/once/stream/x", "/talk/stream/x", "/once/x"}) {
        SpaceFleet fleet(1);
        startOne(fleet);
        RawClient client(fleet.callerPort(0));
        client.send(request("/talk/stream/x", "early"));
        CHECK(client.readUntil("data: ").find("200") != std::string::npos);
        fleet.instance(0).signal(SIGTERM);
        CHECK(client.readUntil("0\r\n\r\n").ends_with("0\r\n\r\n"));
        client.send(request(target, "late"));
        const std::string answer = client.readAnswer();
        std::printf("%s: %s\n", target.c_str(), answer.substr(0, answer.find('\r')).c_str());
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("Retry-After: ") != std::string::npos);
        CHECK(answer.find("Connection: close") != std::string::npos);
        CHECK(answer.find("\"not_run\"") != std::string::npos);
        CHECK(fleet.seen("i-1").find("late") == std::string::npos);
        CHECK_EQUAL(0, fleet.instance(0).wait(Grace));
    }
}

// Guards against the same for the calls of jobs, which may wait for the store or for results.
TEST(LateStop, LateJobCallsAreRefusedOrAnswered)
{
    SpaceFleet fleet(1);
    startOne(fleet);
    const std::string job = R"({"items":[{"id":"a","path":"/batch/stream/1","headers":{},)"
                            R"("body":"q83v","tokens":9}]})";
    CHECK_EQUAL(202U, fleet.call(0, "POST", "/batch/j", "job-1", job).status);
    constexpr int Callers = 4;
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int caller = 0; caller < Callers; ++caller) {
        clients.push_back(std::make_unique<RawClient>(fleet.callerPort(0)));
        clients.back()->send(request("/talk/stream/x", "early-" + std::to_string(caller)));
        CHECK(clients.back()->readUntil("data: ").find("200") != std::string::npos);
    }
    fleet.instance(0).signal(SIGTERM);
    for (const auto &client : clients)
        client->readUntil("0\r\n\r\n");
    const std::string head = " HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-1\r\n";
    const std::string end = "Request-Id: late\r\nContent-Length: 0\r\n\r\n";
    clients[0]->send("GET /api/lots/job-1?after=0" + head + "Wait-Ms: 1000\r\n" + end);
    clients[1]->send("GET /api/items/job-1?id=a" + head + end);
    clients[2]->send("DELETE /api/lots/job-1" + head + end);
    clients[3]->send("POST /batch/j" + head + "Request-Id: job-2\r\nContent-Length: "
                     + std::to_string(job.size()) + "\r\n\r\n" + job);
    for (const auto &client : clients) {
        const std::string answer = client->readAnswer();
        std::printf("%s\n", answer.substr(0, answer.find('\r')).c_str());
        CHECK(answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 202")
              || answer.starts_with("HTTP/1.1 503"));
    }
    CHECK_EQUAL(0, fleet.instance(0).wait(Grace));
}

// Guards against a request that is cut without an answer at the end of the grace period, because
// its endpoint is still silent: also one that may not be repeated, and one that waits for a slot.
TEST(LateStop, ARequestThatIsNotDoneAtTheEndIsAnswered)
{
    SpaceFleet fleet(1);
    fleet.startEndpoint("i-1", slowStreams, 1);
    fleet.writeConfig(1, {"key-1"});
    fleet.startInstance(0);
    CHECK(fleet.waitReady(0));
    fleet.setAnswers("i-1", "silent", 10);
    HttpReply running;
    HttpReply waiting;
    fleet.instance(0).signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds{500});
    std::thread first([&] { running = fleet.call(0, "POST", "/once/x", "r1", "hello"); });
    CHECK(waitUntil(seconds{2}, [&fleet] { return fleet.seen("i-1") == "r1=1\n"; }));
    std::thread second([&] { waiting = fleet.call(0, "POST", "/once/x", "r2", "hello"); });
    first.join();
    second.join();
    std::printf("%s%s", describe(running).c_str(), describe(waiting).c_str());
    CHECK_EQUAL(504U, running.status);
    CHECK(running.contains("\"unknown\""));
    CHECK_EQUAL(503U, waiting.status);
    CHECK(waiting.contains("\"not_run\""));
    CHECK_EQUAL(0, fleet.instance(0).wait(Grace));
}
