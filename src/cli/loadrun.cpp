#include "cli/loadrun.h"

#include "cli/loadbatchrun.h"
#include "cli/loadcall.h"
#include "cli/sendtimes.h"

#include <future>
#include <map>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace json = boost::json;
using std::chrono::steady_clock;

namespace {

// Well below the idle timeout of the listener, so that no request is sent on a connection that the
// listener is about to close.
constexpr std::chrono::seconds MaxIdleTime{2};

// Makes request ids unique across runs, because a plain service ignores repeated ids.
std::string makeRunId()
{
    return "load-" + std::to_string(steady_clock::now().time_since_epoch().count());
}

struct IdleConnection
{
    std::unique_ptr<beast::tcp_stream> connection;
    steady_clock::time_point since;
};

// Sends the flows of a load run. Runs on a single thread, so its members need no lock.
class LoadGenerator
{
public:
    explicit LoadGenerator(const LoadOptions &options)
        : m_options(options)
        , m_results(options.flows.size())
        , m_unfinished(options.flows.size())
    { }

    std::vector<LoadResult> run();

private:
    asio::awaitable<void> sendFlow(std::size_t flow);
    asio::awaitable<void> send(std::size_t flow, LoadCall call);
    std::unique_ptr<beast::tcp_stream> takeIdle(const SocketAddress &address);
    LoadSecond &secondAt(std::size_t flow, steady_clock::time_point intendedSendTime);
    void recordResult(std::size_t flow, steady_clock::time_point intendedSendTime,
                      LoadCallResult &result);

    const LoadOptions &m_options;
    const steady_clock::time_point m_start = steady_clock::now();
    const std::string m_runId = makeRunId();
    std::vector<LoadResult> m_results;
    std::vector<std::uint64_t> m_unfinished;
    std::size_t m_inFlight = 0;
    // Declared before the context, because the coroutines that are destroyed with the context
    // refer to it.
    std::map<SocketAddress, std::vector<IdleConnection>> m_idle;
    asio::io_context m_context;
};

std::vector<LoadResult> LoadGenerator::run()
{
    for (std::size_t flow = 0; flow < m_options.flows.size(); ++flow)
        asio::co_spawn(m_context, sendFlow(flow), asio::detached);
    m_context.run_until(m_start + m_options.duration + m_options.timeout);
    m_idle.clear();
    for (std::size_t flow = 0; flow < m_results.size(); ++flow) {
        if (m_unfinished[flow] > 0)
            m_results[flow].counts["unfinished"] += m_unfinished[flow];
    }
    return std::move(m_results);
}

std::string makeBody(const LoadFlow &flow, std::uint64_t number, int maxTokens)
{
    std::string prompt = "request " + std::to_string(number);
    if (prompt.size() < flow.promptBytes)
        prompt.resize(flow.promptBytes, 'p');
    if (!flow.path.empty())
        return json::serialize(json::object{{"prompt", prompt}});
    const json::array messages{json::object{{"role", "user"}, {"content", prompt}}};
    return json::serialize(json::object{{"model", flow.model},
                                        {"stream", flow.isStream},
                                        {"max_tokens", flow.maxTokens.value_or(maxTokens)},
                                        {"messages", messages}});
}

asio::awaitable<void> LoadGenerator::sendFlow(std::size_t flow)
{
    const LoadFlow &sent = m_options.flows[flow];
    SendTimes times(sent.ratePerSecond, m_options.seed + flow);
    asio::steady_timer timer(m_context);
    std::uint64_t number = 0;
    for (;;) {
        const auto offset = applyBurst(sent.burst, times.next());
        if (offset >= m_options.duration)
            break;
        const auto intendedSendTime = m_start + offset;
        timer.expires_at(intendedSendTime);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const SocketAddress &address = m_options.addresses[number % m_options.addresses.size()];
        ++number;
        ++secondAt(flow, intendedSendTime).sent;
        // Waiting for a connection would turn the open loop into a closed one.
        if (m_inFlight >= m_options.maxConnections) {
            ++m_results[flow].counts["not_sent"];
            continue;
        }
        LoadCall call{
                address,          sent.key,         makeBody(sent, number, m_options.maxTokens),
                sent.isStream,    intendedSendTime, intendedSendTime + m_options.timeout,
                takeIdle(address)};
        if (!sent.path.empty()) {
            call.target = sent.path;
            call.requestId = m_runId + "-" + std::to_string(flow) + "-" + std::to_string(number);
        }
        ++m_inFlight;
        ++m_unfinished[flow];
        asio::co_spawn(m_context, send(flow, std::move(call)), asio::detached);
    }
}

asio::awaitable<void> LoadGenerator::send(std::size_t flow, LoadCall call)
{
    const SocketAddress address = call.address;
    const auto intendedSendTime = call.intendedSendTime;
    LoadCallResult result = co_await makeLoadCall(std::move(call));
    --m_inFlight;
    --m_unfinished[flow];
    recordResult(flow, intendedSendTime, result);
    if (result.connection)
        m_idle[address].push_back({std::move(result.connection), steady_clock::now()});
}

std::unique_ptr<beast::tcp_stream> LoadGenerator::takeIdle(const SocketAddress &address)
{
    std::vector<IdleConnection> &idle = m_idle[address];
    if (idle.empty())
        return nullptr;
    // The last connection was used most recently; if it is too old, all others are too.
    if (steady_clock::now() - idle.back().since > MaxIdleTime) {
        idle.clear();
        return nullptr;
    }
    auto connection = std::move(idle.back().connection);
    idle.pop_back();
    return connection;
}

LoadSecond &LoadGenerator::secondAt(std::size_t flow, steady_clock::time_point intendedSendTime)
{
    const auto index =
            static_cast<std::size_t>((intendedSendTime - m_start) / std::chrono::seconds{1});
    std::vector<LoadSecond> &seconds = m_results[flow].seconds;
    if (seconds.size() <= index)
        seconds.resize(index + 1);
    return seconds[index];
}

void LoadGenerator::recordResult(std::size_t flow, steady_clock::time_point intendedSendTime,
                                 LoadCallResult &result)
{
    LoadResult &totals = m_results[flow];
    LoadSecond &second = secondAt(flow, intendedSendTime);
    ++totals.counts[result.outcome];
    second.limited += result.outcome == "429" ? 1 : 0;
    if (result.outcome == "200") {
        totals.latencies.push_back(result.latency);
        const bool isWithin = result.firstToken.value_or(result.latency) <= m_options.objective;
        totals.withinObjective += isWithin ? 1 : 0;
        ++second.answered;
        second.withinObjective += isWithin ? 1 : 0;
    }
    if (result.firstToken)
        totals.firstTokens.push_back(*result.firstToken);
    for (const auto gap : result.gaps)
        totals.gaps->record(gap);
}

} // namespace

std::vector<LoadResult> runLoad(const LoadOptions &options)
{
    return LoadGenerator(options).run();
}

LoadReport runLoadWithBatches(const LoadOptions &options)
{
    const auto start = steady_clock::now();
    const auto until = start + options.duration + options.timeout;
    std::vector<std::future<LoadBatchResult>> jobs;
    for (const LoadBatch &batch : options.batches) {
        const SocketAddress &address = options.addresses[jobs.size() % options.addresses.size()];
        jobs.push_back(std::async(std::launch::async, [&batch, &address, start, until] {
            return runLoadBatch(batch, address, start, until);
        }));
    }
    LoadReport report;
    report.flows = runLoad(options);
    for (auto &job : jobs)
        report.batches.push_back(job.get());
    return report;
}

} // namespace pistachiofall
