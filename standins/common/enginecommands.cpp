#include "common/enginecommands.h"

#include "common/engineanswer.h"
#include "common/pause.h"

#include <charconv>
#include <optional>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr const char *Json = "application/json";
constexpr milliseconds HoldInterval{10};
constexpr unsigned Accepted = 202;
constexpr unsigned Conflict = 409;

struct LoadCommand
{
    std::string version;
    std::uint64_t fencing = 0;
};

std::optional<LoadCommand> parseLoad(const std::string &body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto *version = object != nullptr ? object->if_contains("version") : nullptr;
    const auto *fencing = object != nullptr ? object->if_contains("fencing") : nullptr;
    if (version == nullptr || !version->is_string() || fencing == nullptr)
        return std::nullopt;
    const auto number = fencing->to_number<std::uint64_t>(error);
    if (error || version->as_string().empty())
        return std::nullopt;
    return LoadCommand{version->as_string().c_str(), number};
}

} // namespace

EngineCommands::EngineCommands(const EngineSettings &settings)
    : m_version(settings.version)
    , m_checksFencing(settings.checksFencing)
    , m_loadTime(settings.loadTime)
{ }

asio::awaitable<void> EngineCommands::handle(HttpExchange &exchange)
{
    if (exchange.path() == "/admin/state" && exchange.method() == "GET")
        co_await exchange.respond(200, Json, stateText(steady_clock::now()));
    else if (exchange.path() == "/admin/load" && exchange.method() == "POST")
        co_await load(exchange);
    else
        co_await exchange.respond(404, Json, errorText("no such path"));
}

asio::awaitable<void> EngineCommands::load(HttpExchange &exchange)
{
    const auto command = parseLoad(exchange.body());
    if (!command) {
        co_await exchange.respond(400, Json, errorText("version or fencing is missing"));
        co_return;
    }
    if (m_hold.take()) {
        std::unique_lock lock(m_mutex);
        const std::uint64_t releases = m_releases;
        ++m_counts.held;
        // The command is under way, so it is carried out even when its sender has gone.
        while (m_releases == releases) {
            lock.unlock();
            co_await pause(HoldInterval);
            lock.lock();
        }
        --m_counts.held;
    }
    const unsigned status = accept(command->version, command->fencing, steady_clock::now());
    const std::string body = status == Accepted ? "{}" : errorText("old fencing number");
    co_await exchange.respond(status, Json, body);
}

unsigned EngineCommands::accept(const std::string &version, std::uint64_t fencing, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    finishLoad(now);
    const bool isLate = fencing < m_fencing;
    if (isLate)
        ++m_counts.late;
    if (isLate && m_checksFencing) {
        ++m_counts.rejected;
        return Conflict;
    }
    if (!isLate)
        m_fencing = fencing;
    ++m_counts.accepted;
    m_failedVersion.clear();
    if (version == m_version) {
        m_loadingVersion.clear();
    } else if (version != m_loadingVersion) {
        m_loadingVersion = version;
        m_loadEnds = now + m_loadTime;
    }
    return Accepted;
}

void EngineCommands::finishLoad(TimePoint now)
{
    if (m_loadingVersion.empty() || now < m_loadEnds)
        return;
    if (m_failing.contains(m_loadingVersion)) {
        m_failedVersion = m_loadingVersion;
    } else {
        m_previousVersion = m_version;
        m_version = m_loadingVersion;
    }
    m_loadingVersion.clear();
}

bool EngineCommands::control(const HttpExchange &exchange)
{
    const std::scoped_lock lock(m_mutex);
    const std::string failing = exchange.query("failing");
    if (!failing.empty())
        m_failing.insert(failing);
    const std::string fencing = exchange.query("fencing");
    if (!fencing.empty())
        m_checksFencing = fencing == "on";
    const std::string loadTime = exchange.query("load_ms");
    unsigned number = 0;
    const char *end = loadTime.data() + loadTime.size();
    const bool isNumber = std::from_chars(loadTime.data(), end, number).ptr == end;
    if (!loadTime.empty() && isNumber)
        m_loadTime = milliseconds{number};
    const std::string hold = exchange.query("hold");
    if (hold == "off")
        ++m_releases;
    const bool isHold = hold.empty() || m_hold.set(hold);
    const bool isSwitch = fencing.empty() || fencing == "on" || fencing == "off";
    return isHold && isSwitch && isNumber;
}

std::string EngineCommands::version()
{
    const std::scoped_lock lock(m_mutex);
    finishLoad(steady_clock::now());
    return m_version;
}

bool EngineCommands::isLoading()
{
    const std::scoped_lock lock(m_mutex);
    finishLoad(steady_clock::now());
    return !m_loadingVersion.empty();
}

EngineCommands::Counts EngineCommands::counts()
{
    const std::scoped_lock lock(m_mutex);
    return m_counts;
}

std::string EngineCommands::stateText(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    finishLoad(now);
    return json::serialize(json::object{{"version", m_version},
                                        {"previous_version", m_previousVersion},
                                        {"loading_version", m_loadingVersion},
                                        {"failed_version", m_failedVersion},
                                        {"fencing", m_fencing}});
}

} // namespace pistachiofall::standins
