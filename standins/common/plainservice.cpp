#include "common/plainservice.h"

#include "common/pause.h"

#include <charconv>
#include <optional>
#include <utility>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char *Json = "application/json";
// Stands for no limit where a time is needed.
constexpr std::chrono::hours Long{24};

std::string callId(const HttpExchange &exchange)
{
    std::string id = exchange.header("X-Request-Id");
    if (!id.empty())
        return id;
    boost::system::error_code error;
    const auto value = json::parse(exchange.body(), error);
    const auto *object = error ? nullptr : value.if_object();
    const auto *field = object != nullptr ? object->if_contains("id") : nullptr;
    if (field == nullptr)
        return {};
    return field->is_string() ? std::string(field->as_string().c_str()) : json::serialize(*field);
}

// Waits until the client sends something or closes; false when the time is over first.
asio::awaitable<bool> waitReadable(HttpExchange &exchange, std::chrono::milliseconds time)
{
    using namespace asio::experimental::awaitable_operators;
    boost::system::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    auto readable = exchange.socket().async_wait(asio::socket_base::wait_read, token);
    auto timeout = pause(time);
    const auto first = co_await (std::move(readable) || std::move(timeout));
    co_return first.index() == 0;
}

} // namespace

PlainService::PlainService(const PlainServiceSettings &settings)
    : m_delay(settings.delay)
    , m_closeIdle(settings.closeIdle)
{ }

asio::awaitable<void> PlainService::handle(HttpExchange &exchange)
{
    const std::string &path = exchange.path();
    if (path == "/control") {
        co_await control(exchange);
        co_return;
    }
    if (path == "/control/run-times") {
        const std::string body = runTimesText();
        co_await exchange.respond(200, Json, body);
        co_return;
    }
    if (path == "/control/runs" || path == "/control/stats") {
        const std::string body = path == "/control/runs" ? runsText() : statsText();
        co_await exchange.respond(200, Json, body);
        co_return;
    }
    m_keySightings.inspect(exchange);
    if (exchange.method() == "POST")
        co_await run(exchange);
    else
        co_await exchange.respond(405, Json, "{}");
}

asio::awaitable<void> PlainService::run(HttpExchange &exchange)
{
    const std::string id = callId(exchange);
    std::uint64_t runCount = 0;
    {
        const std::scoped_lock lock(m_mutex);
        auto &times = m_runs[id];
        times.push_back(std::chrono::steady_clock::now());
        runCount = times.size();
    }
    co_await pause(m_delay.load());
    if (m_closeBeforeAnswer.take()) {
        exchange.drop();
        co_return;
    }
    const unsigned status = m_fail.take() ? 500 : 200;
    const std::string body = json::serialize(json::object{{"id", id}, {"runs", runCount}});
    co_await exchange.respond(status, Json, body);
    if (exchange.isKeepAlive())
        co_await watchIdle(exchange);
}

asio::awaitable<void> PlainService::watchIdle(HttpExchange &exchange)
{
    const std::chrono::milliseconds limit = m_closeIdle;
    const bool closesReused = m_closeReused.take();
    if (limit.count() == 0 && !closesReused)
        co_return;
    const bool isReadable = co_await waitReadable(exchange, limit.count() > 0 ? limit : Long);
    if (isReadable && closesReused)
        exchange.drop();
    boost::system::error_code ignored;
    if (!isReadable)
        exchange.socket().shutdown(asio::socket_base::shutdown_both, ignored);
}

std::uint64_t PlainService::runs(const std::string &id) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? 0 : found->second.size();
}

std::uint64_t PlainService::totalRuns() const
{
    const std::scoped_lock lock(m_mutex);
    std::uint64_t total = 0;
    for (const auto &[id, times] : m_runs)
        total += times.size();
    return total;
}

bool PlainService::setTime(const std::string &text, std::atomic<std::chrono::milliseconds> &time)
{
    std::uint32_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return false;
    time = std::chrono::milliseconds{number};
    return true;
}

asio::awaitable<void> PlainService::control(HttpExchange &exchange)
{
    bool isValid = true;
    const std::pair<const char *, Countdown &> faults[] = {
            {"fail", m_fail},
            {"close-before-answer", m_closeBeforeAnswer},
            {"close-reused", m_closeReused}};
    for (const auto &[name, countdown] : faults) {
        const std::string value = exchange.query(name);
        isValid = (value.empty() || countdown.set(value)) && isValid;
    }
    const std::string delay = exchange.query("delay-ms");
    const std::string idle = exchange.query("close-idle-ms");
    isValid = (delay.empty() || setTime(delay, m_delay)) && isValid;
    isValid = (idle.empty() || setTime(idle, m_closeIdle)) && isValid;
    co_await exchange.respond(isValid ? 200 : 400, Json, "{}");
}

std::string PlainService::runsText() const
{
    const std::scoped_lock lock(m_mutex);
    json::object runs;
    for (const auto &[id, times] : m_runs)
        runs[id] = times.size();
    return json::serialize(runs);
}

std::string PlainService::runTimesText() const
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    const std::scoped_lock lock(m_mutex);
    json::object runs;
    for (const auto &[id, times] : m_runs) {
        json::array &list = runs[id].emplace_array();
        for (const auto &time : times)
            list.emplace_back(duration_cast<microseconds>(time.time_since_epoch()).count());
    }
    return json::serialize(runs);
}

std::string PlainService::statsText() const
{
    return json::serialize(
            json::object{{"runs", totalRuns()}, {"key_sightings", m_keySightings.count()}});
}

} // namespace pistachiofall::standins
