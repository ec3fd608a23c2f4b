#include "cli/loadrun.h"
#include "cli/load.h"
#include "cli/loadtext.h"
#include "cli/sendtimes.h"
#include "http/httplistener.h"
#include "support/iothreads.h"

#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

asio::awaitable<void> sleepFor(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

// Responds according to the requested model: "slow" after 300 ms, "cut" without the end of stream.
asio::awaitable<void> answer(ServerExchange &exchange)
{
    const auto body = co_await exchange.readBody(4096);
    const std::string text = isOk(body) ? valueOf(body) : "";
    HttpHeaders headers;
    if (text.find("\"slow\"") != text.npos)
        co_await sleepFor(300ms);
    if (exchange.headers().get("Authorization") != "Bearer pf_k_s") {
        co_await exchange.respond(401, std::move(headers), "no");
        co_return;
    }
    if (text.find("\"stream\":true") == text.npos) {
        co_await exchange.respond(200, std::move(headers), "{}");
        co_return;
    }
    co_await exchange.startStream(200, std::move(headers));
    co_await exchange.writeChunk("data: {}\n\n");
    co_await sleepFor(50ms);
    co_await exchange.writeChunk("data: {}\n\n");
    if (text.find("\"cut\"") == text.npos)
        co_await exchange.writeChunk("data: [DONE]\n\n");
    co_await exchange.finishStream();
}

} // namespace

TEST_GROUP(LoadRun)
{
    MetricsRegistry metrics;
    tests::IoThreads io;
    std::shared_ptr<HttpListener> listener;
    LoadOptions options;

    void setup() override
    {
        const auto address = SocketAddress::parse("127.0.0.1:0");
        listener = valueOf(
                HttpListener::create(io.executor(), valueOf(address), {}, metrics,
                                     [](ServerExchange &exchange) { return answer(exchange); }));
        options.addresses.push_back(
                valueOf(SocketAddress::parse("127.0.0.1:" + std::to_string(listener->port()))));
        options.duration = 500ms;
        options.timeout = 2000ms;
    }
    void teardown() override
    {
        listener.reset();
        io.stop();
    }
    static std::uint64_t expectedSendCount(double rate, std::uint64_t seed,
                                           std::chrono::nanoseconds duration)
    {
        SendTimes times(rate, seed);
        std::uint64_t count = 0;
        while (times.next() < duration)
            ++count;
        return count;
    }
};

// Guards against lost requests, results counted for another flow, and missing token times.
TEST(LoadRun, countsEachFlow)
{
    options.flows = {{"pf_k_s", 100, "tour", false},
                     {"pf_k_s", 40, "tour", true},
                     {"pf_x_y", 40, "tour", false},
                     {"pf_k_s", 40, "cut", true}};
    const auto results = runLoad(options);
    CHECK_EQUAL(expectedSendCount(100, 1, 500ms), results[0].counts.at("200"));
    CHECK_EQUAL(expectedSendCount(40, 2, 500ms), results[1].counts.at("200"));
    CHECK_EQUAL(expectedSendCount(40, 3, 500ms), results[2].counts.at("401"));
    CHECK_EQUAL(expectedSendCount(40, 4, 500ms), results[3].counts.at("cut"));
    CHECK_EQUAL(1U, results[3].counts.size());
    CHECK_EQUAL(results[1].counts.at("200"), results[1].firstTokens.size());
    CHECK_EQUAL(results[1].counts.at("200"), results[1].gaps->count());
    CHECK(results[1].gaps->quantile(0.5) >= 45ms);
    CHECK(results[0].firstTokens.empty());
    CHECK(formatLoadTable(options.flows, results).find("pf_") == std::string::npos);
    CHECK(formatLoadJson(options.flows, results).find("pf_") == std::string::npos);
}

// Guards against a closed loop: slow responses must not delay later requests, and requests above
// the connection limit must be counted as not sent.
TEST(LoadRun, slowAnswersDoNotSlowTheSends)
{
    options.flows = {{"pf_k_s", 100, "slow", false}};
    options.maxConnections = 5;
    const auto results = runLoad(options);
    const auto &counts = results[0].counts;
    CHECK_EQUAL(expectedSendCount(100, 1, 500ms), counts.at("200") + counts.at("not_sent"));
    CHECK(counts.at("200") <= 10);
    CHECK(nearestRankQuantile(results[0].latencies, 0.5) >= 300ms);
}

// Guards against a run that waits for responses beyond its timeout.
TEST(LoadRun, endsWithItsTimeout)
{
    options.flows = {{"pf_k_s", 100, "slow", false}};
    options.duration = 100ms;
    options.timeout = 100ms;
    const auto begin = std::chrono::steady_clock::now();
    const auto results = runLoad(options);
    CHECK(std::chrono::steady_clock::now() - begin < 1000ms);
    std::uint64_t total = 0;
    for (const auto &[outcome, count] : results[0].counts)
        total += count;
    CHECK_EQUAL(expectedSendCount(100, 1, 100ms), total);
    CHECK_EQUAL(0U, results[0].counts.count("200"));
}

// Guards against ignoring the seed, and against a wrong mean rate.
TEST(LoadRun, sendTimesFollowSeedAndRate)
{
    CHECK(SendTimes(10, 1).next() == SendTimes(10, 1).next());
    CHECK(SendTimes(10, 1).next() != SendTimes(10, 2).next());
    DOUBLES_EQUAL(100000, static_cast<double>(expectedSendCount(1000, 7, 100s)), 1500);
}

// Guards against an off-by-one error in the rank of a quantile.
TEST(LoadRun, quantilesUseTheNearestRank)
{
    CHECK(nearestRankQuantile({}, 0.5) == 0ns);
    CHECK(nearestRankQuantile({4ns, 1ns, 3ns, 2ns}, 0.5) == 2ns);
    CHECK(nearestRankQuantile({4ns, 1ns, 3ns, 2ns}, 0.999) == 4ns);
}

// Guards against error messages that contain the key, and against wrongly parsed flows.
TEST(LoadRun, flowsAreChecked)
{
    const auto flow = parseLoadFlow("pf_k_s:2.5:org:tour:stream");
    CHECK(isOk(flow));
    STRCMP_EQUAL("org:tour", valueOf(flow).model.c_str());
    CHECK(valueOf(flow).isStream);
    DOUBLES_EQUAL(2.5, valueOf(flow).ratePerSecond, 0);
    for (const char *text : {"pf_k_s", "pf_k_s:1", "pf_k_s:1:", ":1:tour", "pf_k_s:0:tour",
                             "pf_k_s:nan:tour", "pf_k_s:1x:tour", "pf_k_s:1e9:tour"}) {
        const auto rejected = parseLoadFlow(text);
        CHECK_FALSE(isOk(rejected));
        CHECK(errorOf(rejected).message.find("pf_k_s") == std::string::npos);
    }
    CHECK_EQUAL(2, runLoadCommand({"load", "--address", "127.0.0.1:1", "--flow", "x"}));
    CHECK_EQUAL(2, runLoadCommand({"load", "--flow", "pf_k_s:1:tour"}));
}
