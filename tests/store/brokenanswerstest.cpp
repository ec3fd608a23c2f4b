#include "cannedserver.h"
#include "storefixture.h"
#include "support/joined.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

namespace {

constexpr const char *Object =
        R"({"metadata":{"name":"one","resourceVersion":"8"},"binaryData":{"data":"Zm9v"}})";

std::string event(const std::string &type, const std::string &object)
{
    return R"({"type":")" + type + R"(","object":)" + object + "}\n";
}

// The answer with a body that is framed by the field, broken in its head or its framing.
std::vector<CannedServer::Parts> brokenInHead(const std::string &status, const std::string &body)
{
    const std::string line = "HTTP/1.1 " + status + "\r\n";
    const std::string framed = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const std::string chunks = "\r\n" + CannedServer::chunk(body) + "0\r\n\r\n";
    std::vector<CannedServer::Parts> answers;
    for (const char *broken : {"000", "099", "600", "999"})
        answers.push_back({"HTTP/1.1 " + std::string(broken) + " X\r\n" + framed});
    for (const char *field :
         {"Some Name: 1", "Name : 1", "X-A: 1\r\n Name: 1", "X\x01Y: 1", "Content-Encoding: gzip"})
        answers.push_back({tests::joined({line, field, "\r\n", framed})});
    for (const char *coding : {"gzip, chunked", "chunked, gzip", "gzip"})
        answers.push_back({tests::joined({line, "Transfer-Encoding: ", coding, "\r\n", chunks})});
    answers.push_back({line + "Transfer-Encoding: chunked\r\n" + framed});
    return answers;
}

} // namespace

TEST_GROUP(BrokenAnswers)
{
    StoreFixture fixture;

    std::shared_ptr<ObjectStore> storeFor(std::vector<CannedServer::Parts> answers)
    {
        const CannedServer server(fixture.context.get_executor(), std::move(answers));
        return fixture.makeStore(server.port());
    }

    void checkCreate(const char *expected, const CannedServer::Parts &answer)
    {
        STRCMP_EQUAL(expected,
                     fixture.outcome(storeFor({answer})->create(StoreFixture::makeObject("one")))
                             .c_str());
    }

    void checkGet(const char *expected, const CannedServer::Parts &answer)
    {
        STRCMP_EQUAL(expected, fixture.outcome(storeFor({answer})->get("one")).c_str());
    }

    void checkWatch(const char *expected, const std::vector<CannedServer::Parts> &answers)
    {
        STRCMP_EQUAL(expected,
                     fixture.outcome(storeFor(answers)->waitForChange("one", "7", 10s)).c_str());
    }
};

// Guards against an answer that is taken as complete although its end is missing.
TEST(BrokenAnswers, CutOffAnswerIsNoAnswer)
{
    CannedServer::Parts cutOff = CannedServer::whole("200 OK", Object);
    checkGet("ok", cutOff);
    cutOff[0].pop_back();
    checkGet("unavailable", cutOff);
    checkCreate("outcome_unknown", cutOff);
    const std::string half = CannedServer::chunk(Object);
    checkGet("unavailable", {CannedServer::streamHead() + half});
    checkGet("ok", {CannedServer::streamHead() + half + "0\r\n\r\n"});
}

TEST(BrokenAnswers, UnreadableAnswerToWriteIsOutcomeUnknown)
{
    for (const char *body : {"{", "{}"}) {
        checkCreate("outcome_unknown", CannedServer::whole("201 Created", body));
        checkGet("protocol_error", CannedServer::whole("200 OK", body));
    }
    checkCreate("outcome_unknown", {"garbage\r\n\r\n"});
    checkGet("protocol_error", {"garbage\r\n\r\n"});
}

TEST(BrokenAnswers, WatchEventMayComeInPieces)
{
    const std::string line = event("BOOKMARK", "{}") + event("MODIFIED", Object);
    checkWatch("ok",
               {{CannedServer::streamHead() + CannedServer::chunk(line.substr(0, 50)),
                 CannedServer::chunk(line.substr(50, 30)), CannedServer::chunk(line.substr(80))}});
}

TEST(BrokenAnswers, WatchBeginsAnewAfterExpiry)
{
    const std::string expired = event("ERROR", R"({"code":410})");
    const std::string added = event("ADDED", Object);
    checkWatch("ok",
               {{CannedServer::streamHead() + CannedServer::chunk(expired)},
                {CannedServer::streamHead() + CannedServer::chunk(added)}});
}

// Guards against a store that ends watches at once and is asked again in a tight loop, or counts as
// a store that has confirmed that nothing changed.
TEST(BrokenAnswers, WatchThatEndsEarlyIsUnavailable)
{
    checkWatch("unavailable", {{CannedServer::streamHead() + "0\r\n\r\n"}});
    checkWatch("unavailable", {{CannedServer::streamHead()}});
    checkWatch("unavailable", {CannedServer::whole("503 Service Unavailable", "")});
    checkWatch("protocol_error", {{CannedServer::streamHead() + CannedServer::chunk("x\n")}});
}

// Guards against an answer that breaks the protocol and passes as what the store has, or as its
// word that a write was or was not carried out.
TEST(BrokenAnswers, AnswerThatBreaksTheProtocolIsNoAnswer)
{
    for (const CannedServer::Parts &answer : brokenInHead("200 OK", Object))
        checkGet("protocol_error", answer);
    for (const CannedServer::Parts &answer : brokenInHead("201 Created", Object))
        checkCreate("outcome_unknown", answer);
    for (const char *status :
         {"200 OK", "404 Not Found", "409 Conflict", "429 Too Many Requests"}) {
        for (const CannedServer::Parts &answer : brokenInHead(status, "{}")) {
            const std::string outcome = fixture.outcome(storeFor({answer})->remove("one", "7"));
            STRCMP_EQUAL_TEXT("outcome_unknown", outcome.c_str(), answer[0].c_str());
        }
    }
    for (const CannedServer::Parts &answer : brokenInHead("200 OK", event("MODIFIED", Object)))
        checkWatch("protocol_error", {answer});
}

// Guards against an interim answer that is taken for the answer.
TEST(BrokenAnswers, InterimAnswersArePassedOver)
{
    CannedServer::Parts answer = CannedServer::whole("200 OK", Object);
    answer[0].insert(0, "HTTP/1.1 100 Continue\r\n\r\n");
    checkGet("ok", answer);
    checkCreate("ok", answer);
    checkWatch("ok",
               {{"HTTP/1.1 100 Continue\r\n\r\n" + CannedServer::streamHead()
                 + CannedServer::chunk(event("MODIFIED", Object))}});
}
