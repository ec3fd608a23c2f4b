#include "fleet/endpointpool.h"
#include "fleet/fleetfixture.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace pistachiofall::tests;
using std::chrono::milliseconds;

namespace {

constexpr unsigned Seed = 3;
constexpr int DomainCount = 4;
constexpr int SlotsOfEndpoint = 8;
constexpr milliseconds Step{2};
constexpr milliseconds NearInterval{40};
constexpr milliseconds FarInterval{500};
constexpr milliseconds Transit{2};
constexpr milliseconds Hold{780};

/// How instances learn what those of other failure domains send.
enum class Knowledge { SingleReports, Summaries };

/// What the callers met.
struct Outcome
{
    int requests = 0;
    /// Requests sent to an endpoint that was full on arrival although another one was not.
    int needlesslyQueued = 0;
    /// Requests behind as many others at the endpoint as run there.
    int farBehind = 0;
};

/// Instances that choose endpoints by reports of their peers that come late, as real pools without
/// a network. Requests come in waves: a valley of 3.6 s and a peak of 2.4 s that needs most of the
/// slots; the failure domains get uneven parts.
class StaleFleet
{
public:
    StaleFleet(int instances, int endpoints, Knowledge knowledge)
        : m_knowledge(knowledge)
        , m_endpoints(endpoints)
    {
        for (int index = 0; index < instances; ++index) {
            auto pool = std::make_unique<EndpointPool>(nameOf(index));
            for (int endpoint = 0; endpoint < endpoints; ++endpoint)
                pool->update(chatEndpoint(endpointName(endpoint), SlotsOfEndpoint,
                                          domainName(endpoint % DomainCount)),
                             m_now);
            pool->setUsageAge({NearInterval,
                               knowledge == Knowledge::Summaries ? NearInterval * 2 : FarInterval});
            m_pools.push_back(std::move(pool));
        }
        for (int index = 0; index < instances; ++index) {
            for (int peer = 0; peer < instances; ++peer)
                m_pools[static_cast<std::size_t>(index)]->setPeerDomain(
                        nameOf(peer), domainName(peer % DomainCount));
        }
    }

    Outcome play(milliseconds duration, double peakUse)
    {
        Outcome outcome;
        for (milliseconds passed{0}; passed < duration; passed += Step) {
            m_now += Step;
            finishRequests();
            deliverReports();
            sendReports(passed);
            const bool isPeak = passed % milliseconds{6000} >= milliseconds{3600};
            arrive(outcome, isPeak ? peakUse : peakUse / 5);
        }
        return outcome;
    }

private:
    struct Request
    {
        SteadyTime end;
        std::size_t instance;
        std::string endpoint;
        bool operator>(const Request &other) const { return end > other.end; }
    };

    struct Report
    {
        SteadyTime arrival;
        std::size_t from;
        std::size_t to;
        std::map<std::string, EndpointUsage> usage;
        std::vector<DomainUsageMark> summary;
    };

    static std::string nameOf(int index) { return "instance-" + std::to_string(index); }
    static std::string endpointName(int index) { return "e" + std::to_string(index); }
    static std::string domainName(int index) { return "east-" + std::to_string(index); }
    static std::string domainOf(std::size_t instance)
    {
        return domainName(static_cast<int>(instance) % DomainCount);
    }

    void finishRequests()
    {
        while (!m_running.empty() && m_running.top().end <= m_now) {
            const Request &request = m_running.top();
            m_pools[request.instance]->requestFinished(request.endpoint, WorkClass::Online, m_now);
            --m_inFlight[request.endpoint];
            m_running.pop();
        }
    }

    void sendReports(milliseconds passed)
    {
        for (std::size_t from = 0; from < m_pools.size(); ++from) {
            for (std::size_t to = 0; to < m_pools.size(); ++to) {
                if (from == to)
                    continue;
                const bool isNear = from % DomainCount == to % DomainCount;
                const milliseconds interval = isNear ? NearInterval : FarInterval;
                // Each pair at a time of its own.
                const milliseconds phase{static_cast<int>(from * 37 + to * 13) % interval.count()
                                         / Step.count() * Step.count()};
                if (passed % interval != phase)
                    continue;
                Report report{m_now + Transit, from, to, m_pools[from]->localUsage(), {}};
                if (!isNear && m_knowledge == Knowledge::Summaries)
                    report.summary = m_pools[from]->usageByDomain(domainOf(from));
                m_reports.push_back(std::move(report));
            }
        }
    }

    void deliverReports()
    {
        while (!m_reports.empty() && m_reports.front().arrival <= m_now) {
            Report &report = m_reports.front();
            EndpointPool &pool = *m_pools[report.to];
            pool.setPeerUsage(nameOf(static_cast<int>(report.from)), std::move(report.usage),
                              m_now);
            const bool isNear = report.from % DomainCount == report.to % DomainCount;
            if (!isNear && m_knowledge == Knowledge::Summaries)
                pool.setDomainUsage(domainOf(report.from),
                                    static_cast<int>(m_pools.size()) / DomainCount, report.summary,
                                    m_now);
            m_reports.pop_front();
        }
    }

    void arrive(Outcome &outcome, double use)
    {
        const double slots = m_endpoints * SlotsOfEndpoint;
        std::poisson_distribution<int> arrivals(use * slots * (Step / milliseconds{1})
                                                / static_cast<double>(Hold.count()));
        // Half as many requests again in the first failure domain as in the others.
        std::discrete_distribution<std::size_t> domain{{1.5, 1, 1, 1}};
        for (int count = arrivals(m_random); count > 0; --count) {
            const std::size_t row = m_random() % (m_pools.size() / DomainCount);
            const std::size_t instance = row * DomainCount + domain(m_random);
            send(outcome, instance);
        }
    }

    void send(Outcome &outcome, std::size_t instance)
    {
        const std::string key = "request-" + std::to_string(++m_requestCount);
        const auto placement =
                m_pools[instance]->placeOnline({"chat", domainOf(instance), key, {}}, m_now);
        ++outcome.requests;
        if (!placement)
            return;
        const std::string &endpoint = placement->endpoint.id;
        m_pools[instance]->requestStarted(endpoint, WorkClass::Online, m_now);
        const int before = m_inFlight[endpoint]++;
        bool isAnotherFree = false;
        for (int other = 0; other < m_endpoints; ++other)
            isAnotherFree = isAnotherFree || m_inFlight[endpointName(other)] < SlotsOfEndpoint;
        if (before >= SlotsOfEndpoint && isAnotherFree)
            ++outcome.needlesslyQueued;
        if (before >= 2 * SlotsOfEndpoint)
            ++outcome.farBehind;
        const int waits = std::max(0, before - SlotsOfEndpoint + 1);
        m_running.push({m_now + Hold + Hold * waits / SlotsOfEndpoint, instance, endpoint});
    }

    Knowledge m_knowledge;
    int m_endpoints;
    SteadyTime m_now{std::chrono::hours{1}};
    std::mt19937 m_random{Seed};
    std::vector<std::unique_ptr<EndpointPool>> m_pools;
    std::priority_queue<Request, std::vector<Request>, std::greater<>> m_running;
    std::deque<Report> m_reports;
    std::map<std::string, int> m_inFlight;
    int m_requestCount = 0;
};

Outcome playFleet(int instances, int endpoints, Knowledge knowledge)
{
    constexpr double PeakUse = 0.88;
    StaleFleet fleet(instances, endpoints, knowledge);
    const Outcome outcome = fleet.play(milliseconds{12000}, PeakUse);
    std::printf("%d instances, %d endpoints, %s: needlessly queued %d of %d, far behind %d\n",
                instances, endpoints,
                knowledge == Knowledge::Summaries ? "summaries" : "single reports",
                outcome.needlesslyQueued, outcome.requests, outcome.farBehind);
    return outcome;
}

} // namespace

TEST_GROUP(StaleLoad){};

// The load: waves that need nearly all slots, before 4 failure domains of instances whose reports
// to each other are half a second apart. Guards against endpoints that are overrun while others
// idle.
TEST(StaleLoad, SummariesEvenTheLoad)
{
    for (const auto &[instances, endpoints] : {std::pair{24, 32}, std::pair{48, 60}}) {
        const Outcome before = playFleet(instances, endpoints, Knowledge::SingleReports);
        const Outcome after = playFleet(instances, endpoints, Knowledge::Summaries);
        CHECK(after.needlesslyQueued * 10 < before.needlesslyQueued * 7);
        CHECK(after.farBehind <= before.farBehind);
    }
}

TEST_GROUP(DomainUsage)
{
    EndpointPool pool{"east-a-1"};
    SteadyTime now{std::chrono::hours{1}};
    std::uint32_t mark = 0;

    void setup() override
    {
        const FleetEndpoint endpoint = chatEndpoint("e1", 8);
        pool.update(endpoint, now);
        pool.setPeerDomain("east-b-1", "east-b");
        pool.setPeerDomain("east-b-2", "east-b");
        mark = static_cast<std::uint32_t>(EndpointSpeeds::keyOf(endpoint));
    }
};

// Guards against requests that count twice, in a summary and in the report of an instance.
TEST(DomainUsage, SummaryReplacesSingleReports)
{
    pool.setPeerUsage("east-b-1", {{"e1", {2, 1}}}, now);
    pool.requestStarted("e1", WorkClass::Online, now);
    CHECK_EQUAL(4, pool.totalUsage("e1").total());
    pool.setDomainUsage("east-b", 2, {{mark, {5, 0}}}, now);
    CHECK_EQUAL(6, pool.totalUsage("e1").total());
    pool.setPeerUsage("east-b-2", {{"e1", {1, 0}}}, now);
    CHECK_EQUAL(6, pool.totalUsage("e1").total());
    pool.setDomainUsage("east-b", 2, {}, now);
    CHECK_EQUAL(1, pool.totalUsage("e1").total());
}

// Guards against endpoints that look idle because an instance that has just started knows no peer.
TEST(DomainUsage, FullerSummaryIsKeptForAWhile)
{
    pool.setDomainUsage("east-b", 5, {{mark, {5, 0}}}, now);
    pool.setDomainUsage("east-b", 1, {}, now + milliseconds{50});
    CHECK_EQUAL(5, pool.totalUsage("e1").online);
    pool.setDomainUsage("east-b", 1, {}, now + milliseconds{400});
    CHECK_EQUAL(0, pool.totalUsage("e1").online);
}

// Guards against a failure domain whose usage stays as it was when its summaries end.
TEST(DomainUsage, SingleReportsCountAgainWithoutSummaries)
{
    pool.setDomainUsage("east-b", 2, {{mark, {7, 0}}}, now);
    pool.setPeerUsage("east-b-1", {{"e1", {1, 0}}}, now);
    now += std::chrono::seconds{1};
    pool.removeExpired(now);
    CHECK_EQUAL(1, pool.totalUsage("e1").online);
}

// What an instance passes on is its own usage and that of its failure domain, not that of others.
TEST(DomainUsage, SummaryCoversTheOwnDomain)
{
    pool.setPeerDomain("east-a-2", "east-a");
    pool.setPeerUsage("east-a-2", {{"e1", {2, 0}}}, now);
    pool.setPeerUsage("east-b-1", {{"e1", {4, 0}}}, now);
    pool.requestStarted("e1", WorkClass::Batch, now);
    const auto marks = pool.usageByDomain("east-a");
    CHECK_EQUAL(1U, marks.size());
    CHECK_EQUAL(2, marks[0].usage.online);
    CHECK_EQUAL(1, marks[0].usage.batch);
}
