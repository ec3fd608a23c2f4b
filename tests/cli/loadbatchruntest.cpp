#include "cli/loadbatchrun.h"
#include "cli/loadrun.h"
#include "cli/loadtext.h"
#include "http/httplistener.h"
#include "support/iothreads.h"

#include <algorithm>
#include <atomic>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;
namespace asio = boost::asio;

TEST_GROUP(LoadBatchRun)
{
    MetricsRegistry metrics;
    tests::IoThreads io;
    std::shared_ptr<HttpListener> listener;
    std::atomic<int> statusQueries{0};
    std::atomic<int> submittedItems{0};
    std::atomic<int> callsWithRequestId{0};
    std::atomic<bool> isRejecting{false};
    std::atomic<int> statusQueriesUntilDone{2};

    void setup() override
    {
        listener = valueOf(HttpListener::create(
                io.executor(), valueOf(SocketAddress::parse("127.0.0.1:0")), {}, metrics,
                [this](ServerExchange &exchange) { return answer(exchange); }));
    }
    void teardown() override
    {
        listener.reset();
        io.stop();
    }
    SocketAddress address() const
    {
        return valueOf(SocketAddress::parse("127.0.0.1:" + std::to_string(listener->port())));
    }
    // Serves job submission, job status, and a plain service under /print.
    asio::awaitable<void> answer(ServerExchange & exchange)
    {
        const auto body = co_await exchange.readBody(65536);
        const std::string text = isOk(body) ? valueOf(body) : "";
        HttpHeaders headers;
        if (exchange.path() == "/print") {
            callsWithRequestId += exchange.headers().get("X-Request-Id").empty() ? 0 : 1;
            co_await exchange.respond(200, std::move(headers), "{}");
            co_return;
        }
        if (isRejecting) {
            co_await exchange.respond(429, std::move(headers), "{}");
            co_return;
        }
        std::string reply = R"({"id": "j-1"})";
        if (exchange.method() == "POST") {
            submittedItems = static_cast<int>(std::count(text.begin(), text.end(), '\n'));
        } else {
            const bool isDone = ++statusQueries >= statusQueriesUntilDone;
            reply = isDone ? R"({"state": "done", "done": 3, "failed": 1})"
                           : R"({"state": "open", "done": 1, "failed": 0})";
        }
        co_await exchange.respond(200, std::move(headers), std::move(reply));
    }
};

// Guards against submitting a wrong number of items, and against missing the end of the job.
TEST(LoadBatchRun, followsTheJobToItsEnd)
{
    const LoadBatch batch{"mill", "pf_k_s", "m", 3, 60s, 100ms, 10, 4};
    const auto start = std::chrono::steady_clock::now();
    const auto result = runLoadBatch(batch, address(), start, start + 20s);
    STRCMP_EQUAL("", result.error.c_str());
    LONGS_EQUAL(3, submittedItems);
    CHECK(result.total == 3 && result.done == 3 && result.failed == 1 && result.doneWhenDue == 3);
    CHECK(result.timeToEnd.has_value());
    CHECK(std::chrono::steady_clock::now() - start >= 100ms);
}

// Guards against counting items done after the due time, and against a run that does not end.
TEST(LoadBatchRun, endsWithTheRun)
{
    statusQueriesUntilDone = 1'000'000;
    const LoadBatch batch{"mill", "pf_k_s", "m", 3, 0s, 0ms, 0, 4};
    const auto start = std::chrono::steady_clock::now();
    const auto result = runLoadBatch(batch, address(), start, start + 500ms);
    CHECK_FALSE(result.timeToEnd.has_value());
    CHECK(result.done == 1 && result.doneWhenDue == 0);
}

// Guards against reporting a rejected job as one without any items done.
TEST(LoadBatchRun, reportsARefusal)
{
    isRejecting = true;
    const LoadBatch batch{"mill", "pf_k_s", "m", 3, 60s, 0ms, 0, 4};
    const auto start = std::chrono::steady_clock::now();
    const auto result = runLoadBatch(batch, address(), start, start + 500ms);
    CHECK_FALSE(result.error.empty());
    const auto table = formatBatchTable({batch}, {result});
    CHECK(table.find(result.error) != std::string::npos);
    CHECK(table.find("pf_k_s") == std::string::npos);
}

// Guards against sending the requests of a path flow to another path or without an X-Request-Id, by
// which a plain service detects repeats, and against not counting responses within the objective.
TEST(LoadBatchRun, pathFlowsRunBesideJobs)
{
    LoadOptions options;
    options.addresses.push_back(address());
    options.duration = 500ms;
    options.timeout = 2000ms;
    LoadFlow flow{"pf_k_s", 40, "", false};
    flow.path = "/print";
    options.flows.push_back(flow);
    options.batches.push_back({"mill", "pf_k_s", "m", 3, 60s, 0ms, 0, 4});
    const LoadReport report = runLoadWithBatches(options);
    const LoadResult &result = report.flows.at(0);
    CHECK(requestCount(result) > 0);
    LONGS_EQUAL(requestCount(result), result.counts.at("200"));
    LONGS_EQUAL(requestCount(result), callsWithRequestId);
    LONGS_EQUAL(requestCount(result), result.withinObjective);
    LONGS_EQUAL(requestCount(result), result.seconds.at(0).withinObjective);
    CHECK(report.batches.at(0).timeToEnd.has_value());
    options.objective = 0ms;
    LONGS_EQUAL(0, runLoad(options).at(0).withinObjective);
}
