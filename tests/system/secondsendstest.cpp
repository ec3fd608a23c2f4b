#include "system/spacefleet.h"
#include "system/waituntil.h"

#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A fleet with one endpoint, and with kept connections to it. Another one can take its place.
class ReleasedEndpoint
{
public:
    ReleasedEndpoint()
        : m_fleet(1)
    {
        m_fleet.startEndpoint("i-old", {"--event-gap-ms", "5"}, 8);
        m_fleet.startEndpoint("i-new", {"--event-gap-ms", "5"}, 8, "other");
        m_fleet.writeConfig(1, {"key-1"});
        m_fleet.startInstance(0);
        CHECK(m_fleet.waitReady(0));
    }

    void submit(const std::string &job)
    {
        const std::string body = R"({"items":[{"id":"item-)" + job
                + R"(","path":"/batch/stream/1","headers":{},"body":"q83v","tokens":9}]})";
        LONGS_EQUAL(202, m_fleet.call(0, "POST", "/batch/j", job, body).status);
    }

    bool isComplete(const std::string &job)
    {
        return m_fleet.call(0, "GET", "/api/lots/" + job + "?after=0", "read")
                .contains("\"next\":1");
    }

    bool hasSeen(const std::string &endpoint, const std::string &run)
    {
        return ("\n" + m_fleet.seen(endpoint)).find("\n" + run + "\n") != std::string::npos;
    }

    // The old endpoint drains once it has the request, and another one takes its place.
    void release(const std::string &request)
    {
        CHECK(waitUntil(seconds{5}, [&] { return hasSeen("i-old", request + "=1"); }));
        m_fleet.unregisterEndpoint("i-new");
        m_fleet.registerEndpoint("i-new", m_fleet.endpointPort("i-new"), 8);
        m_fleet.drainEndpoint("i-old");
    }

    SpaceFleet &fleet() { return m_fleet; }

private:
    SpaceFleet m_fleet;
};

} // namespace

TEST_GROUP(SecondSends){};

// Guards against an item that is sent again to the endpoint whose answer was lost on a kept
// connection, though the endpoint has begun to drain meanwhile.
TEST(SecondSends, AnItemWithALostAnswerGoesToAnEndpointThatIsStillFit)
{
    ReleasedEndpoint endpoint;
    endpoint.submit("warm");
    CHECK(waitUntil(seconds{5}, [&] { return endpoint.isComplete("warm"); }));
    endpoint.fleet().setAnswers("i-old", "lose-1000");
    endpoint.submit("job-1");
    endpoint.release("item-job-1");
    CHECK(waitUntil(seconds{10}, [&] { return endpoint.isComplete("job-1"); }));
    CHECK(endpoint.hasSeen("i-old", "item-job-1=1"));
    CHECK(endpoint.hasSeen("i-new", "item-job-1=1"));
}

// Guards against the same for a request of a caller.
TEST(SecondSends, ARequestWithALostAnswerGoesToAnEndpointThatIsStillFit)
{
    ReleasedEndpoint endpoint;
    LONGS_EQUAL(200, endpoint.fleet().call(0, "POST", "/plain/1", "warm", "x").status);
    endpoint.fleet().setAnswers("i-old", "lose-700");
    std::thread releaser([&endpoint] { endpoint.release("request-1"); });
    const HttpReply reply = endpoint.fleet().call(0, "POST", "/plain/1", "request-1", "x");
    releaser.join();
    LONGS_EQUAL(200, reply.status);
    CHECK(endpoint.hasSeen("i-old", "request-1=1"));
    CHECK(endpoint.hasSeen("i-new", "request-1=1"));
}

// Guards against runs beyond the attempts of the route, and against an answer that promises that
// the request has not run, when kept connections break one after the other.
TEST(SecondSends, EachBreakOfAKeptConnectionCountsAsAnAttempt)
{
    ReleasedEndpoint endpoint;
    // The route has two attempts.
    for (int request = 0; request < 2; ++request)
        LONGS_EQUAL(200, endpoint.fleet().call(0, "POST", "/plain/1", "warm", "x").status);
    endpoint.fleet().setAnswers("i-old", "lose-0", 4);
    const HttpReply reply = endpoint.fleet().call(0, "POST", "/plain/1", "request-1", "x");
    LONGS_EQUAL(502, reply.status);
    CHECK(reply.contains("\"run\":\"unknown\""));
    CHECK(endpoint.hasSeen("i-old", "request-1=2"));
}
