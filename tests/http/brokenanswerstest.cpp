#include "http/endpointclient.h"
#include "http/iothreads.h"
#include "http/rawendpoint.h"
#include "support/joined.h"
#include "support/problemlist.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using tests::joined;

namespace {

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string length = "Content-Length: 5\r\n";
const std::string hello = length + "\r\nhello";
const std::string soundAnswer = ok + hello;
const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string chunkedHello = "\r\n5\r\nhello\r\n0\r\n\r\n";

struct Outcome
{
    /// Empty when the call failed.
    std::string answer;
    std::string error;
    std::string reason;
};

Outcome failedWith(const CallFailure &failure)
{
    return {{}, std::string(toString(failure.error.code)), failure.error.message};
}

asio::awaitable<Outcome> outcomeOf(std::shared_ptr<EndpointCall> call)
{
    const CallResult<AnswerHead> head = co_await call->send();
    if (!isOk(head))
        co_return failedWith(failureOf(head));
    const CallResult<std::string> body = co_await call->readAll(1000);
    if (!isOk(body))
        co_return failedWith(failureOf(body));
    co_return Outcome{std::to_string(valueOf(head).status) + ' ' + valueOf(body), {}, {}};
}

} // namespace

TEST_GROUP(BrokenAnswers)
{
    MetricsRegistry metrics;
    IoThreads io;
    std::shared_ptr<EndpointClient> client = EndpointClient::create(io.executor(), {}, metrics);
    RawEndpoint endpoint{{{{soundAnswer}}}};
    CallOptions options{TrafficClass::Online, Idempotency::Idempotent, milliseconds{3000},
                        milliseconds{3000},   milliseconds{1000},      milliseconds{1000}};

    tests::ProblemList problems;

    void setup() override
    {
        options.acceptsEndByClose = true;
    }

    void teardown() override
    {
        STRCMP_EQUAL("", problems.text().c_str());
    }

    void check(const std::string &expected, const Outcome &outcome, const std::string &name)
    {
        const std::string got = outcome.answer.empty() ? outcome.error : outcome.answer;
        problems.expect(got == expected, name, got);
    }

    Outcome call(std::size_t bodyBytes = 4)
    {
        auto request = std::make_shared<EndpointRequest>();
        request->body = std::string(bodyBytes, 'x');
        auto outcome = io.run(outcomeOf(client->prepare(endpoint.address(), request, options)));
        return outcome.value_or(Outcome{"hangs", {}, {}});
    }

    // The bytes are no answer, and the call after them gets its own answer on a new connection.
    void checkBroken(const std::string &bytes)
    {
        client = EndpointClient::create(io.executor(), {}, metrics);
        endpoint.setAnswers({{{bytes}}, {{soundAnswer}}});
        check("protocol_error", call(), bytes);
        check("200 hello", call(), "after " + bytes);
        problems.expect(endpoint.connections() == 2, bytes, "the connection was used again");
    }

    void checkSound(const std::string &expected, const std::string &bytes)
    {
        endpoint.setAnswers({{{bytes}}});
        check(expected, call(), bytes);
    }

    void checkCut(const std::string &bytes, const RawEndpoint::Answer &answer,
                  std::size_t bodyBytes = 4)
    {
        endpoint.setAnswers({answer});
        check("outcome_unknown", call(bodyBytes), bytes);
    }
};

// Guards against a status that no answer may have, passed on or skipped like an interim answer.
TEST(BrokenAnswers, StatusOutsideItsRange)
{
    for (const char *status : {"000", "001", "099", "600", "999"}) {
        const std::string line = std::string("HTTP/1.1 ") + status + " X\r\n";
        checkBroken(line + hello);
        checkBroken(joined({line, "\r\n", soundAnswer}));
        const std::string size = std::to_string(soundAnswer.size());
        checkBroken(joined({line, "Content-Length: ", size, "\r\n\r\n", soundAnswer}));
    }
    for (const char *status : {"20", "2000", "-20", "2x0", "0x0", ""})
        checkBroken(std::string("HTTP/1.1 ") + status + " X\r\n" + hello);
    for (const char *version : {"HTTP/1.2", "HTTP/2.0", "HTTP/0.9", "http/1.1", "ICY"})
        checkBroken(std::string(version) + " 200 OK\r\n" + hello);
    checkBroken("HTTP/1.1 101 X\r\n\r\n" + soundAnswer);
}

// Guards against a line of the head that is passed on although it is no field, or that is passed
// over although it tells where the body ends.
TEST(BrokenAnswers, FieldNamesThatAreNoTokens)
{
    const std::string control("X\0Y: 1\r\n", 8);
    for (const std::string &line :
         {std::string("Some Name: 1\r\n"), std::string("Name : 1\r\n"),
          std::string("Name\t: 1\r\n"), std::string("X\x01Y: 1\r\n"), std::string("X\x7fY: 1\r\n"),
          std::string("X\x0bY: 1\r\n"), control, std::string("X\xe9Y: 1\r\n"),
          std::string(": 1\r\n"), std::string("Name\r\n"), std::string(" Name: 1\r\n"),
          std::string("\tName: 1\r\n"), std::string(" \r\n"), std::string("\x01: 1\r\n"),
          std::string("X\rY: 1\r\n"), std::string("X\nY: 1\r\n")}) {
        checkBroken(joined({ok, line, hello}));
        checkBroken(joined({ok, length, line, "\r\nhello"}));
        checkBroken(joined({ok, "X-A: 1\r\n", line, "X-B: 1\r\n", hello}));
    }
    for (const char *name : {"Content-Length : ", " Content-Length: ", "\tContent-Length: ",
                             "Content Length: ", "Content-Length\x01: ", "Content-Length\t: "}) {
        checkBroken(joined({ok, name, "5\r\n\r\nhello"}));
        checkBroken(joined({ok, "X-A: 1\r\n", name, "5\r\n\r\nhello"}));
        checkBroken(joined({ok, "X-A: 1\r\n", name, "5\r\n", chunked, chunkedHello}));
    }
    checkBroken(ok + "X-A: 1\r\n Transfer-Encoding: chunked\r\n" + length + "\r\nhello");
    checkBroken("HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n X-B: 2\r\n\r\n" + soundAnswer);
}

// Guards against a value that is passed on and ends a line early at whoever reads it next.
TEST(BrokenAnswers, FieldValuesWithControlBytes)
{
    for (const std::string &value :
         {std::string("a\x01z"), std::string("a\0z", 3), std::string("a\x7fz"), std::string("a\rz"),
          std::string("a\nz"), std::string("a\x0bz")})
        checkBroken(joined({ok, "X-A: ", value, "\r\n", hello}));
}

// Guards against a body that is passed on although a coding has not been undone.
TEST(BrokenAnswers, TransferCodingsThatAreNotUndone)
{
    for (const char *coding :
         {"gzip, chunked", "chunked, gzip", "gzip", "identity", "chunked, chunked",
          "gzip\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: gzip",
          "chunked\r\nTransfer-Encoding: chunked", "xchunked", "chunked;q=1", ""})
        checkBroken(joined({ok, "Transfer-Encoding: ", coding, "\r\n", chunkedHello}));
    checkBroken("HTTP/1.0 200 OK\r\n" + chunked + chunkedHello);
}

// Guards against a body that is read up to another place than its sender meant.
TEST(BrokenAnswers, BodiesWhoseEndIsNotKnown)
{
    checkBroken(ok + length + chunked + chunkedHello);
    checkBroken(ok + chunked + length + chunkedHello);
    for (const char *value :
         {"5\r\nContent-Length: 6", "6\r\nContent-Length: 5", "5, 6", "+5", "-5", "5x", "0x5", "",
          "5 5", "5.0", "18446744073709551621", "99999999999999999999999"})
        checkBroken(joined({ok, "Content-Length: ", value, "\r\n\r\nhello"}));
    for (const char *body :
         {"x\r\nhello\r\n0\r\n\r\n", "-5\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n",
          " 5\r\nhello\r\n0\r\n\r\n", "\r\nhello\r\n0\r\n\r\n", "5\r\nhelloxx0\r\n\r\n",
          "10000000000000005\r\nhello\r\n0\r\n\r\n", "5\r\nhello\r\n0\r\nSome Name: 1\r\n\r\n",
          "5\r\nhello\r\n0\r\nName\r\n\r\n"})
        checkBroken(joined({ok, chunked, "\r\n", body}));
    checkCut("chunks without carriage returns", {{ok + chunked + "\r\n5\nhello\n0\n\n"}, true});
}

// Guards against a part of a body that is taken for the whole.
TEST(BrokenAnswers, BodiesThatAreCut)
{
    for (const std::string &bytes :
         {ok + "Content-Length: 6\r\n\r\nhello", ok + chunked + "\r\n5\r\nhello\r\n",
          ok + chunked + "\r\n5\r\nhello\r\n0\r\n", ok + "X-A: 1\r\n"})
        checkCut(bytes, {{bytes}, true});
    // Without a length only the orderly end of the connection is the end of the body.
    endpoint.setAnswers({{{ok + "\r\nhello"}, true}});
    check("200 hello", call(), "orderly end");
    checkCut("reset", {{ok + "\r\nhello"}, false, true});
}

// Guards against a part of an answer that counts as whole because the error of its connection was
// reported to the writer of the request.
TEST(BrokenAnswers, AnswerThatIsResetDuringTheRequest)
{
    constexpr std::size_t UploadBytes = std::size_t{32} << 20U;
    for (const std::string &head : {ok + "\r\n", ok + length + "\r\n", ok + chunked + "\r\n"})
        checkCut(head, {{head + "hel"}, false, true, true}, UploadBytes);
}

// Guards against bytes in a content coding that are passed on as the endpoint's body.
TEST(BrokenAnswers, BodiesInAContentCoding)
{
    for (const char *coding : {"gzip", "br", "identity", "x-unknown", "gzip, gzip", ""}) {
        const std::string field = std::string("Content-Encoding: ") + coding + "\r\n";
        checkBroken(joined({ok, field, hello}));
        checkBroken(joined({ok, field, chunked, chunkedHello}));
        checkBroken(joined({"HTTP/1.1 500 Internal Server Error\r\n", field, hello}));
    }
    checkBroken(ok + "content-encoding: gzip\r\n" + hello);
}

// Guards against checks that take sound answers for broken ones.
TEST(BrokenAnswers, SoundAnswersInUnusualForms)
{
    checkSound("200 hello", ok + "content-length:5\r\n\r\nhello");
    checkSound("200 hello", ok + "Content-Length:   5  \r\n\r\nhello");
    checkSound("200 hello", ok + "transfer-encoding:  Chunked \r\n" + chunkedHello);
    checkSound("200 hello",
               ok + "X-Empty:\r\nX-Text: caf\xe9 \t x\r\n!#$%&'*+-.^_`|~09: 1\r\n" + hello);
    checkSound("200 hello", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + soundAnswer);
    checkSound("200 hello", "HTTP/1.1 100 Continue\r\n\r\n" + soundAnswer);
    checkSound("200 hello", "HTTP/1.0 200 OK\r\n" + hello);
    checkSound("599 hello", "HTTP/1.1 599 Other\r\n" + hello);
    checkSound("200 hello",
               ok + chunked + "\r\n3;a=\"b\"\r\nhel\r\n2\r\nlo\r\n0\r\nX-T: 1\r\n\r\n");
    checkSound("204 ", "HTTP/1.1 204 No Content\r\n\r\n");
    checkSound("304 ", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n");
}
