#include "system/spacefleet.h"
#include "system/waituntil.h"

#include <cstdio>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// By then an announcement has reached the other instances.
constexpr milliseconds PeerTime{1000};

// Two instances and two endpoints, the first of which leaves.
class LeavingFleet
{
public:
    LeavingFleet()
        : m_fleet(2)
    {
        m_fleet.startEndpoint("i-1", {"--event-gap-ms", "5"}, 8);
        m_fleet.writeConfig(1, {"key-1"});
        for (int index = 0; index < 2; ++index)
            m_fleet.startInstance(index);
        for (int index = 0; index < 2; ++index)
            CHECK(m_fleet.waitReady(index));
        m_fleet.announceLeaving("i-1");
    }

    HttpReply send(int instance, const std::string &target)
    {
        return m_fleet.call(instance, "POST", target, "r" + std::to_string(++m_requests), "hello");
    }

    // After the endpoint has answered through the first instance, it gets nothing from either,
    // although its entry still says that it is ready.
    void checkGetsNothingMore()
    {
        const std::string seen = m_fleet.seen("i-1");
        m_fleet.startEndpoint("i-2", {"--event-gap-ms", "5"}, 8);
        std::this_thread::sleep_for(PeerTime);
        for (int request = 0; request < 20; ++request)
            CHECK_EQUAL(200U, send(request % 2, "/talk/stream/x").status);
        STRCMP_EQUAL(seen.c_str(), m_fleet.seen("i-1").c_str());
    }

    SpaceFleet &fleet() { return m_fleet; }

private:
    SpaceFleet m_fleet;
    int m_requests = 0;
};

} // namespace

TEST_GROUP(Leaving){};

// Guards against requests to an endpoint that has said in an answer that it leaves.
TEST(Leaving, AnswerWithALength)
{
    LeavingFleet leaving;
    CHECK_EQUAL(200U, leaving.send(0, "/plain/x").status);
    leaving.checkGetsNothingMore();
}

TEST(Leaving, StreamInChunks)
{
    LeavingFleet leaving;
    CHECK_EQUAL(200U, leaving.send(0, "/talk/stream/x").status);
    leaving.checkGetsNothingMore();
}

TEST(Leaving, StreamThatEndsWithItsConnection)
{
    LeavingFleet leaving;
    leaving.fleet().setAnswers("i-1", "close");
    CHECK_EQUAL(200U, leaving.send(0, "/talk/stream/x").status);
    leaving.checkGetsNothingMore();
}

TEST(Leaving, StreamThatIsCutOff)
{
    LeavingFleet leaving;
    leaving.fleet().cutNextStream("i-1", 2);
    leaving.send(0, "/talk/stream/x");
    leaving.checkGetsNothingMore();
}

TEST(Leaving, ErrorOfTheEndpoint)
{
    LeavingFleet leaving;
    leaving.fleet().setAnswers("i-1", "error", 9);
    leaving.send(0, "/once/x");
    leaving.checkGetsNothingMore();
}

TEST(Leaving, RefusalOfTheEndpoint)
{
    LeavingFleet leaving;
    leaving.fleet().setAnswers("i-1", "refuse");
    CHECK_EQUAL(503U, leaving.send(0, "/once/x").status);
    leaving.checkGetsNothingMore();
}

TEST(Leaving, AnswerToABatchItem)
{
    LeavingFleet leaving;
    const std::string job =
            R"({"items":[{"id":"a","path":"/batch/stream/1","headers":{"Model":"m"},)"
            R"("body":"q83v","tokens":9}]})";
    CHECK_EQUAL(202U, leaving.fleet().call(0, "POST", "/batch/j", "job-1", job).status);
    CHECK(waitUntil(seconds{5}, [&leaving] {
        const auto reply = leaving.fleet().call(1, "GET", "/api/lots/job-1?after=0", "read");
        return reply.contains("\"next\":1");
    }));
    leaving.checkGetsNothingMore();
}

// Guards against an endpoint that comes back because its entry is read again after an outage.
TEST(Leaving, HoldsOverAnOutageOfTheStore)
{
    LeavingFleet leaving;
    CHECK_EQUAL(200U, leaving.send(0, "/plain/x").status);
    leaving.fleet().setStore("down");
    std::this_thread::sleep_for(milliseconds{1500});
    leaving.fleet().setStore("ok");
    std::this_thread::sleep_for(milliseconds{1000});
    leaving.checkGetsNothingMore();
}

// Guards against a caller that waits for its deadline when the last endpoint leaves.
TEST(Leaving, RequestIsRejectedAtOnceWhenTheLastEndpointLeaves)
{
    LeavingFleet leaving;
    CHECK_EQUAL(200U, leaving.send(0, "/plain/x").status);
    const auto reply = leaving.send(0, "/plain/x");
    CHECK_EQUAL(503U, reply.status);
    CHECK(reply.headers.contains("Retry-After"));
    CHECK(reply.elapsed < seconds{1});
}
