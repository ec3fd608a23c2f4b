#include "http/rawendpoint.h"
#include "support/joined.h"
#include "support/problemlist.h"
#include "system/brokenanswercases.h"
#include "system/fleet.h"
#include "system/waituntil.h"

#include <csignal>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall::tests;
using std::chrono::seconds;

namespace {

constexpr int CallsForARetry = 20;
const std::string plain = "Content-Type: application/json\r\n";
const std::string eventStream = "Content-Type: text/event-stream\r\n";
const std::string events = "data: {\"n\":1}\n\ndata: [DONE]\n\n";
const std::string foreignEvents = "data: foreign\n\ndata: [DONE]\n\n";
const std::string streamRequest =
        R"({"model":"tour","stream":true,"messages":[{"role":"user","content":"x"}]})";

RawEndpoint::Answer toAnswer(const BrokenAnswer &broken)
{
    return {{broken.bytes}, broken.closesAfterwards};
}

RawEndpoint::Answer soundly(const AnswerParts &parts)
{
    return {{soundAnswer(parts)}};
}

// One instance before one endpoint of a model and of a service.
class Caller
{
public:
    Caller()
        : m_key(m_fleet.makeKey("k1", "acme"))
    {
        const std::string address = " address=" + m_endpoint.address().toString();
        const std::string rules = "organisation acme rate=500 burst=500 # by Ana: test\n"
                + m_key.rule + " # by Ana: test\nendpoint e-1" + address
                + " domain=east-a model=tour slots=8 cold_slots=8 # by Bo: test\nendpoint t-1"
                + address
                + " domain=east-a service=tags slots=8 cold_slots=8 # by Bo: test\n"
                  "route /print service=tags idempotent=no # by Bo: test\n"
                  "route /look service=tags idempotent=yes # by Bo: test\n";
        CHECK_EQUAL(0, m_fleet.applyRules(rules));
        m_fleet.startInstances();
    }

    RawEndpoint &endpoint() { return m_endpoint; }

    HttpReply post(const std::string &target, const std::string &body = "{}",
                   const std::string &id = "r1")
    {
        return m_fleet.post(0, target, m_key.text, body, {{"X-Request-Id", id}});
    }

    // Sends sound calls, each of which allows a part of a retry.
    void earnRetries()
    {
        m_endpoint.setAnswers({soundly({plain + "Connection: close\r\n", "sound"})});
        for (int count = 0; count < CallsForARetry; ++count)
            post("/look");
    }

    // The result lines of a job of one item.
    std::string resultOfItem(const std::string &path)
    {
        const std::string name = "job-" + std::to_string(++m_jobs);
        const std::string item = R"({"custom_id":"i-1","path":")" + path + R"(","body":{}})" + "\n";
        const auto submitted =
                m_fleet.post(0, "/v1/batches", m_key.text, item, {{"Idempotency-Key", name}});
        const std::string field = R"("id":")";
        const auto begin = submitted.body.find(field) + field.size();
        const std::string id =
                submitted.body.substr(begin, submitted.body.find('"', begin) - begin);
        CHECK(waitUntil(seconds{20}, [this, &id] {
            return get("/v1/batches/" + id).contains("\"state\":\"done\"");
        }));
        return get("/v1/batches/" + id + "/results").body;
    }

    // What the instance has logged until its end.
    std::string stopAndReadLog()
    {
        m_fleet.instance(0).signal(SIGTERM);
        return m_fleet.instance(0).readAll(seconds{30});
    }

private:
    HttpReply get(const std::string &target)
    {
        HttpCall call;
        call.port = m_fleet.callerPort(0);
        call.target = target;
        call.headers = {{"Authorization", "Bearer " + m_key.text}};
        return httpCall(call);
    }

    static FleetOptions options()
    {
        FleetOptions options;
        options.instances = 1;
        options.failureDomains = 1;
        options.extraSettings = "first_byte_ms = 1500\n";
        return options;
    }

    RawEndpoint m_endpoint{{{{}}}};
    Fleet m_fleet{options()};
    Fleet::Key m_key;
    int m_jobs = 0;
};

} // namespace

TEST_GROUP(ServeBrokenAnswers)
{
    Caller caller;
    ProblemList problems;

    void teardown() override
    {
        STRCMP_EQUAL("", problems.text().c_str());
    }

    void expect(bool holds, const std::string &name, const std::string &got)
    {
        problems.expect(holds, name,
                        got + " after " + std::to_string(caller.endpoint().requests())
                                + " requests");
    }
};

// Guards against a broken answer that reaches the caller of a plain call.
TEST(ServeBrokenAnswers, PlainCalls)
{
    for (const BrokenAnswer &broken : brokenAnswers({plain, "foreign"})) {
        caller.earnRetries();
        caller.endpoint().setAnswers({toAnswer(broken), soundly({plain, "sound"})});
        const HttpReply retried = caller.post("/look");
        expect(retried.body == "sound" && caller.endpoint().connections() == 2, broken.name,
               describe(retried));
        caller.endpoint().setAnswers({toAnswer(broken)});
        const HttpReply reply = caller.post("/print");
        expect(reply.status == 502 && reply.contains("\"run\":\"unknown\"")
                       && !reply.contains("foreign") && caller.endpoint().requests() == 1,
               broken.name, describe(reply));
    }
}

// Guards against a part of an answer that counts as whole since its connection was reset while the
// request was still being sent.
TEST(ServeBrokenAnswers, EarlyAnswerThatIsReset)
{
    const std::string upload(std::size_t{6} << 20U, 'x');
    for (const std::string &framing :
         {std::string("\r\n"), std::string("Content-Length: 50\r\n\r\n"),
          std::string("Transfer-Encoding: chunked\r\n\r\n")}) {
        const std::string part = joined({"HTTP/1.1 200 OK\r\n", plain, framing, "foreign"});
        caller.earnRetries();
        caller.endpoint().setAnswers({{{part}, false, true, true}, soundly({plain, "sound"})});
        const HttpReply retried = caller.post("/look", upload);
        expect(retried.body == "sound", "look", describe(retried));
        caller.endpoint().setAnswers({{{part}, false, true, true}});
        const HttpReply reply = caller.post("/print", upload);
        expect(reply.status == 502 && !reply.contains("foreign"), "print", describe(reply));
    }
}

// Guards against the same for streams, whose events are passed on as they come.
TEST(ServeBrokenAnswers, Streams)
{
    for (const BrokenAnswer &broken : brokenAnswers({eventStream, foreignEvents})) {
        if (broken.isBrokenAfterItsBody)
            continue;
        caller.earnRetries();
        caller.endpoint().setAnswers({toAnswer(broken), soundly({eventStream, events})});
        const HttpReply reply = caller.post("/v1/chat/completions", streamRequest);
        expect(reply.body == events, broken.name, describe(reply));
    }
}

// Guards against the same for items of batch jobs.
TEST(ServeBrokenAnswers, Items)
{
    for (const BrokenAnswer &broken : brokenAnswers({plain, "\"foreign\""})) {
        caller.earnRetries();
        caller.endpoint().setAnswers({toAnswer(broken), soundly({plain, "\"sound\""})});
        const std::string result = caller.resultOfItem("/look");
        expect(result.find("sound") != std::string::npos
                       && result.find("foreign") == std::string::npos,
               broken.name, result);
    }
}

// Guards against a second run of an item that may run once only, and against a result that calls a
// broken answer one.
TEST(ServeBrokenAnswers, ItemsThatMayRunOnce)
{
    for (const BrokenAnswer &broken : brokenAnswers({plain, "\"foreign\""})) {
        caller.endpoint().setAnswers({toAnswer(broken), soundly({plain, "\"sound\""})});
        const std::string result = caller.resultOfItem("/print");
        expect(result.find("outcome_unknown") != std::string::npos
                       && result.find("foreign") == std::string::npos
                       && caller.endpoint().requests() == 1,
               broken.name, result);
    }
}

// Guards against broken answers that leave no trace.
TEST(ServeBrokenAnswers, AreLoggedWithTheirReason)
{
    caller.endpoint().setAnswers({toAnswer(brokenAnswers({plain, "foreign"}).front())});
    caller.post("/print", "{}", "tag-4711");
    const std::string log = caller.stopAndReadLog();
    STRCMP_CONTAINS("answer_broken request=tag-4711 endpoint=t-1 reason=\"the answer has status 0",
                    log.c_str());
}
