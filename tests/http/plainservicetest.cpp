#include "common/plainservice.h"
#include "http/standinfixture.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace pistachiofall::standins;

TEST_GROUP(PlainService)
{
    StandinFixture fixture;
    std::shared_ptr<PlainService> service = std::make_shared<PlainService>(PlainServiceSettings{});
    SocketAddress address = fixture.serve(service);

    std::string printTag(const std::string &id)
    {
        return fixture.post(address, "/print", "{}", id);
    }
};

// Guards against a count that misses runs, on which the tests for at most one run rest.
TEST(PlainService, CountsRunsOfEachCall)
{
    STRCMP_CONTAINS("\"runs\":1", printTag("a").c_str());
    STRCMP_CONTAINS("\"runs\":2", printTag("a").c_str());
    STRCMP_CONTAINS("\"runs\":1", fixture.post(address, "/print", R"({"id":"b"})").c_str());
    STRCMP_CONTAINS("\"runs\":1", fixture.post(address, "/print", R"({"id":7})").c_str());
    fixture.post(address, "/control?fail=1");
    STRCMP_CONTAINS("\"runs\":3", printTag("a").c_str());
    STRCMP_EQUAL(R"({"7":1,"a":3,"b":1})", fixture.get(address, "/control/runs").c_str());
    const std::string times = fixture.get(address, "/control/run-times");
    CHECK_EQUAL(2, std::ranges::count(times.substr(times.find("\"a\"")), ',') - 1);
    STRCMP_CONTAINS("\"key_sightings\":0", fixture.get(address, "/control/stats").c_str());
}

// Guards against a stale pooled connection after which the client sends the call again by itself,
// or which is kept for the next call.
TEST(PlainService, StaleConnectionAndRuns)
{
    fixture.post(address, "/control?close-reused=on");
    printTag("first");
    STRCMP_CONTAINS("failed outcome_unknown", printTag("second").c_str());
    CHECK_EQUAL(0, service->runs("second"));
    CHECK_EQUAL(1, fixture.metrics.counter("endpoint_connections_stale_total").value());
    STRCMP_CONTAINS("\"runs\":1", printTag("second").c_str());
    CHECK_EQUAL(1, fixture.metrics.counter("endpoint_connections_stale_total").value());
    fixture.options.idempotency = Idempotency::NonIdempotent;
    STRCMP_CONTAINS("\"runs\":1", printTag("third").c_str());
    CHECK_EQUAL(1, service->runs("third"));
    CHECK_EQUAL(1, fixture.metrics.counter("endpoint_connections_stale_total").value());
}

// Guards against a call that ran, lost its answer and is sent again although it must not be.
TEST(PlainService, LostAnswerAndRuns)
{
    fixture.options.idempotency = Idempotency::NonIdempotent;
    fixture.post(address, "/control?close-before-answer=1");
    STRCMP_EQUAL("failed outcome_unknown", printTag("once").c_str());
    CHECK_EQUAL(1, service->runs("once"));
    fixture.options.idempotency = Idempotency::Idempotent;
    printTag("pools a connection");
    fixture.post(address, "/control?close-before-answer=1");
    STRCMP_CONTAINS("failed outcome_unknown", printTag("twice").c_str());
    CHECK_EQUAL(1, service->runs("twice"));
    STRCMP_CONTAINS("\"runs\":2", printTag("twice").c_str());
}

// Guards against an idle connection that the service has closed and that fails a call.
TEST(PlainService, ClosesIdleConnections)
{
    fixture.post(address, "/control?close-idle-ms=30");
    printTag("a");
    CHECK_TRUE(waitFor(
            [this] { return fixture.metrics.gauge("endpoint_connections_idle").value() == 0; }));
    STRCMP_CONTAINS("\"runs\":1", printTag("b").c_str());
}
