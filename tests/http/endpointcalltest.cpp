#include "http/endpointcall.h"
#include "http/endpointclient.h"
#include "http/iothreads.h"
#include "http/rawendpoint.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

const std::string okHead = "HTTP/1.1 200 OK\r\n";
const std::string wholeAnswer = okHead + "Content-Length: 5\r\n\r\nhello";
const std::string chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n";

// The outcome of a call as one line: "200 body", or what failed.
asio::awaitable<std::string> describe(std::shared_ptr<EndpointCall> call)
{
    const auto text = [](const CallFailure &failure) {
        return std::string(toString(failure.error.code)) + " stage "
                + std::to_string(static_cast<int>(failure.stage))
                + (failure.sent == RequestSent::Nothing ? " nothing sent" : " possibly sent")
                + (failure.isStaleConnection ? " stale" : "");
    };
    const CallResult<AnswerHead> head = co_await call->send();
    if (!isOk(head))
        co_return text(failureOf(head));
    const CallResult<std::string> body = co_await call->readAll(1000);
    if (!isOk(body))
        co_return text(failureOf(body));
    co_return std::to_string(valueOf(head).status) + ' ' + valueOf(body);
}

} // namespace

TEST_GROUP(EndpointCall)
{
    MetricsRegistry metrics;
    IoThreads io;
    std::shared_ptr<EndpointClient> client = EndpointClient::create(io.executor(), {}, metrics);
    CallOptions options{TrafficClass::Online, Idempotency::Idempotent, milliseconds{3000},
                        milliseconds{3000},   milliseconds{3000},      milliseconds{3000}};

    std::shared_ptr<EndpointCall> prepare(const SocketAddress &address)
    {
        auto request = std::make_shared<EndpointRequest>();
        request->headers.add("Authorization", "Bearer pf_k1_0123456789");
        request->headers.add("X-Request-Id", "r1");
        request->target = "/run?a=1&key=x";
        request->body = "ping";
        return client->prepare(address, request, options);
    }

    std::string call(const SocketAddress &address)
    {
        return io.run(describe(prepare(address))).value_or("hangs");
    }

    std::uint64_t counter(const char *name)
    {
        return metrics.counter(name).value();
    }
};

// Guards against a key that reaches an endpoint.
TEST(EndpointCall, SendsOnlyWhatEndpointsMaySee)
{
    RawEndpoint endpoint({{{wholeAnswer}, false}});
    STRCMP_EQUAL("200 hello", call(endpoint.address()).c_str());
    const std::string expected = "POST /run?a=1 HTTP/1.1\r\nHost: " + endpoint.address().toString()
            + "\r\nX-Request-Id: r1\r\nContent-Length: 4\r\n\r\nping";
    STRCMP_EQUAL(expected.c_str(), endpoint.lastRequest().c_str());
}

TEST(EndpointCall, ReadsAnswersInAllForms)
{
    RawEndpoint endpoint({
            {{"HTTP/1.1 100 Continue\r\n\r\n" + wholeAnswer}, false},
            {{chunkedHead + "3\r\nabc\r\n", "2;x=y\r\nde", "\r\n0\r\nTrailer: 1\r\n\r\n"}, false},
            {{"HTTP/1.1 204 No Content\r\n\r\n"}, false},
            {{"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno"}, false},
    });
    STRCMP_EQUAL("200 hello", call(endpoint.address()).c_str());
    STRCMP_EQUAL("200 abcde", call(endpoint.address()).c_str());
    STRCMP_EQUAL("204 ", call(endpoint.address()).c_str());
    STRCMP_EQUAL("500 no", call(endpoint.address()).c_str());
    CHECK_EQUAL(1, endpoint.connections());
}

// Guards against an answer that was cut or has no checked end and passes as complete.
TEST(EndpointCall, IncompleteAnswersAreErrors)
{
    RawEndpoint endpoint({
            {{okHead + "Content-Length: 6\r\n\r\nhello"}, true},
            {{chunkedHead + "5\r\nhello\r\n"}, true},
            {{chunkedHead + "5\r\nhello\r\n0\r\n"}, true},
            {{okHead + "\r\nhello"}, true},
            {{"HTTP/1.1 101 Switching Protocols\r\n\r\n"}, true},
            {{chunkedHead + "zz\r\n"}, true},
            {{"not http\r\n\r\n"}, true},
            {{okHead + "Content-Length: 2000\r\n\r\n" + std::string(2000, 'x')}, true},
    });
    for (const char *expected :
         {"outcome_unknown stage 3 possibly sent", "outcome_unknown stage 3 possibly sent",
          "outcome_unknown stage 3 possibly sent", "protocol_error stage 2 possibly sent",
          "protocol_error stage 2 possibly sent", "protocol_error stage 2 possibly sent",
          "protocol_error stage 2 possibly sent", "too_large stage 3 possibly sent"})
        STRCMP_EQUAL(expected, call(endpoint.address()).c_str());
    CHECK_EQUAL(8, endpoint.connections());
}

// Guards against a caller that waits for ever on a silent endpoint, at each point of the answer.
TEST(EndpointCall, SilentEndpointMissesDeadlines)
{
    RawEndpoint endpoint({
            {{chunkedHead}, false},
            {{chunkedHead + "2\r\nab\r\n", "2\r\ncd\r\n"}, false},
            {{}, false},
    });
    options.firstByteTimeout = options.gapTimeout = milliseconds{300};
    STRCMP_EQUAL("timed_out stage 2 possibly sent", call(endpoint.address()).c_str());
    STRCMP_EQUAL("timed_out stage 3 possibly sent", call(endpoint.address()).c_str());
    STRCMP_EQUAL("timed_out stage 2 possibly sent", call(endpoint.address()).c_str());
    CHECK_EQUAL(3, endpoint.connections());
    CHECK_TRUE(waitFor([&endpoint] { return endpoint.hasLostClient(); }));
    const auto timeouts = [this](const char *stage) {
        return metrics.counter("endpoint_timeouts_total", {{"stage", stage}}).value();
    };
    CHECK_EQUAL(2, timeouts("first_byte"));
    CHECK_EQUAL(1, timeouts("gap"));
}

// Guards against a refused connection that is reported as if the request could have run.
TEST(EndpointCall, RefusedConnectionSentNothing)
{
    std::optional<RawEndpoint> endpoint;
    const SocketAddress address = endpoint.emplace(std::vector<RawEndpoint::Answer>{}).address();
    endpoint.reset();
    STRCMP_EQUAL("unavailable stage 0 nothing sent", call(address).c_str());
}

TEST(EndpointCall, MalformedTargetSendsNothing)
{
    RawEndpoint endpoint({{{wholeAnswer}, false}});
    auto request = std::make_shared<EndpointRequest>();
    request->target = "/a HTTP/1.1\r\nX: y";
    const auto call = client->prepare(endpoint.address(), request, options);
    STRCMP_EQUAL("invalid_argument stage 1 nothing sent",
                 io.run(describe(call)).value_or("hangs").c_str());
}

// Guards against a request that is sent a second time when a kept connection breaks, without asking
// whether it may be, and against an endpoint that is blamed for closing an idle connection.
TEST(EndpointCall, StaleConnectionIsReportedAndTheRequestNotSentAgain)
{
    RawEndpoint endpoint({{{wholeAnswer}, false}, {{}, true}, {{wholeAnswer}, false}, {{}, true}});
    STRCMP_EQUAL("200 hello", call(endpoint.address()).c_str());
    STRCMP_EQUAL("outcome_unknown stage 2 possibly sent stale", call(endpoint.address()).c_str());
    CHECK_EQUAL(2, endpoint.requests());
    STRCMP_EQUAL("200 hello", call(endpoint.address()).c_str());
    STRCMP_EQUAL("outcome_unknown stage 2 possibly sent stale", call(endpoint.address()).c_str());
    CHECK_EQUAL(4, endpoint.requests());
    CHECK_EQUAL(2, counter("endpoint_connections_stale_total"));
}

// Guards against an end of the endpoint, long after the request has reached it, that is taken for a
// connection which was closed while it was idle.
TEST(EndpointCall, LateBreakOfAKeptConnectionIsNotStale)
{
    RawEndpoint endpoint({{{wholeAnswer}, false}, {{}, true, false, false, milliseconds{400}}});
    STRCMP_EQUAL("200 hello", call(endpoint.address()).c_str());
    STRCMP_EQUAL("outcome_unknown stage 2 possibly sent", call(endpoint.address()).c_str());
    CHECK_EQUAL(2, endpoint.requests());
    CHECK_EQUAL(0, counter("endpoint_connections_stale_total"));
}

// Guards against a repeated request after the endpoint has begun to answer it.
TEST(EndpointCall, PartialAnswerIsNotStale)
{
    RawEndpoint endpoint({{{wholeAnswer}, false}, {{"HTTP/1.1 2"}, true}, {{wholeAnswer}, false}});
    STRCMP_EQUAL("200 hello", call(endpoint.address()).c_str());
    STRCMP_EQUAL("outcome_unknown stage 2 possibly sent", call(endpoint.address()).c_str());
    CHECK_EQUAL(2, endpoint.requests());
}

// Guards against a non-idempotent request on a connection that may be stale, and against one that
// is sent twice.
TEST(EndpointCall, NonIdempotentCallsUseFreshConnections)
{
    RawEndpoint endpoint({{{wholeAnswer}, false}, {{wholeAnswer}, false}, {{}, true}});
    options.idempotency = Idempotency::NonIdempotent;
    STRCMP_EQUAL("200 hello", call(endpoint.address()).c_str());
    STRCMP_EQUAL("200 hello", call(endpoint.address()).c_str());
    STRCMP_CONTAINS("Connection: close\r\n", endpoint.lastRequest().c_str());
    STRCMP_EQUAL("outcome_unknown stage 2 possibly sent", call(endpoint.address()).c_str());
    CHECK_EQUAL(3, endpoint.requests());
    CHECK_EQUAL(3, endpoint.connections());
}

// Guards against an endpoint that goes on working for a call that nobody waits for.
TEST(EndpointCall, CancelClosesConnection)
{
    RawEndpoint endpoint({{{}, false}});
    options.firstByteTimeout = milliseconds{5000};
    const auto call = prepare(endpoint.address());
    std::thread canceller([&] {
        waitFor([&endpoint] { return endpoint.requests() == 1; });
        call->cancel();
    });
    const std::string outcome = io.run(describe(call)).value_or("hangs");
    canceller.join();
    STRCMP_EQUAL("cancelled stage 2 possibly sent", outcome.c_str());
    CHECK_TRUE(waitFor([&endpoint] { return endpoint.hasLostClient(); }));
    const auto early = prepare(endpoint.address());
    early->cancel();
    STRCMP_EQUAL("cancelled stage 0 nothing sent",
                 io.run(describe(early)).value_or("hangs").c_str());
    CHECK_EQUAL(1, endpoint.connections());
}

// Guards against a cancel that comes late and breaks the next call on the pooled connection.
TEST(EndpointCall, CancelAfterCompleteAnswerLeavesConnection)
{
    RawEndpoint endpoint({{{wholeAnswer}, false}});
    const auto first = prepare(endpoint.address());
    STRCMP_EQUAL("200 hello", io.run(describe(first)).value_or("hangs").c_str());
    first->cancel();
    STRCMP_EQUAL("200 hello", call(endpoint.address()).c_str());
    CHECK_EQUAL(1, endpoint.connections());
}

// Guards against online requests that wait behind batch answers on one connection.
TEST(EndpointCall, TrafficClassesShareNoConnection)
{
    RawEndpoint endpoint({{{wholeAnswer}, false}});
    call(endpoint.address());
    options.trafficClass = TrafficClass::Batch;
    call(endpoint.address());
    CHECK_EQUAL(2, endpoint.connections());
    CHECK_EQUAL(2, metrics.gauge("endpoint_connections_idle").value());
}

// Guards against an abandoned call that leaves its connection open.
TEST(EndpointCall, DestroyedCallClosesConnection)
{
    RawEndpoint endpoint({{{}, false}});
    options.firstByteTimeout = milliseconds{20};
    std::shared_ptr<EndpointCall> call = prepare(endpoint.address());
    io.run(describe(call));
    call.reset();
    CHECK_TRUE(waitFor([&endpoint] { return endpoint.hasLostClient(); }));
}

// Guards against a caller's header or query that is changed on the way to an endpoint that gets
// requests as they are.
TEST(EndpointCall, SendsVerbatimRequestsAsTheyAre)
{
    RawEndpoint endpoint({{{wholeAnswer}, false}});
    auto request = std::make_shared<EndpointRequest>();
    request->form = RequestForm::Verbatim;
    request->target = "/run?a=1&key=x";
    request->headers.add("Host", "desk.example");
    request->headers.add("Model", "m");
    request->body = "ping";
    const auto call = client->prepare(endpoint.address(), request, options);
    STRCMP_EQUAL("200 hello", io.run(describe(call)).value_or("hangs").c_str());
    const std::string received = endpoint.lastRequest();
    STRCMP_CONTAINS("POST /run?a=1&key=x HTTP/1.1\r\n", received.c_str());
    STRCMP_CONTAINS("Host: desk.example\r\n", received.c_str());
    STRCMP_CONTAINS("Model: m\r\n", received.c_str());
}

// Guards against an answer without a length that is refused, or one that was cut and looks whole.
TEST(EndpointCall, TakesAnAnswerThatEndsWithItsConnection)
{
    options.acceptsEndByClose = true;
    RawEndpoint endpoint({{{okHead + "\r\nhel", "lo"}, true}});
    STRCMP_EQUAL("200 hello", call(endpoint.address()).c_str());
    RawEndpoint cut({{{okHead + "Content-Length: 9\r\n\r\nhello"}, true}});
    STRCMP_EQUAL("outcome_unknown stage 3 possibly sent", call(cut.address()).c_str());
}
