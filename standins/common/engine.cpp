#include "common/engine.h"

#include "common/engineanswer.h"
#include "common/pause.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;
using std::chrono::steady_clock;

namespace {

constexpr const char *Json = "application/json";
constexpr std::chrono::milliseconds QueueInterval{5};
// How soon a request ends after its client has gone.
constexpr std::chrono::milliseconds CloseCheckInterval{20};
// The tokens that come before an answer stalls or breaks.
constexpr std::size_t TokensBeforeFault = 2;

// False when the client closes the connection first.
asio::awaitable<bool> waitWhileConnected(HttpExchange &exchange, std::chrono::nanoseconds time)
{
    const auto end = steady_clock::now() + time;
    for (;;) {
        if (exchange.isPeerClosed())
            co_return false;
        const std::chrono::nanoseconds left = end - steady_clock::now();
        if (left <= std::chrono::nanoseconds{0})
            co_return true;
        co_await pause(std::min<std::chrono::nanoseconds>(left, CloseCheckInterval));
    }
}

} // namespace

Engine::Engine(const EngineSettings &settings)
    : m_settings(settings)
    , m_load(settings, steady_clock::now())
    , m_prefixes(settings.prefixBlocks, settings.prefixBlockCharacters)
    , m_commands(settings)
{ }

asio::awaitable<void> Engine::handle(HttpExchange &exchange)
{
    const std::string &path = exchange.path();
    if (path == "/control") {
        co_await control(exchange);
        co_return;
    }
    if (path == "/control/stats") {
        co_await exchange.respond(200, Json, statsText());
        co_return;
    }
    m_keySightings.inspect(exchange);
    if (path.starts_with("/admin/")) {
        co_await m_commands.handle(exchange);
        co_return;
    }
    if (path == "/v1/chat/completions" && exchange.method() == "POST")
        co_await admit(exchange);
    else if (path == "/metrics")
        co_await exchange.respond(200, "text/plain; version=0.0.4", metricsText());
    else
        co_await exchange.respond(404, Json, errorText("no such path"));
}

asio::awaitable<void> Engine::admit(HttpExchange &exchange)
{
    auto request = parseCompletionRequest(exchange.body());
    if (!request || request->model != m_settings.model) {
        const std::string error = errorText(request ? "no such model" : "malformed request");
        co_await exchange.respond(request ? 404 : 400, Json, error);
        co_return;
    }
    Run present{std::move(*request), Fault::None, 0, false, 0};
    if (m_fail.take()) {
        ++m_failed;
        co_await exchange.respond(500, Json, errorText("failure on demand"));
        co_return;
    }
    if (m_commands.isLoading()) {
        ++m_failed;
        co_await exchange.respond(503, Json, errorText("a version is loading"));
        co_return;
    }
    present.request.version = m_commands.version();
    present.ticket = m_load.enter(steady_clock::now());
    if (present.ticket == 0) {
        co_await exchange.respond(500, Json, errorText("the engine is overloaded"));
        co_return;
    }
    present.fault = takeFault();
    co_await run(exchange, present);
    m_load.leave(present.ticket, steady_clock::now());
    if (present.isCancelled)
        ++m_cancelled;
}

Engine::Fault Engine::takeFault()
{
    if (m_stall.take())
        return Fault::Stall;
    if (m_truncate.take())
        return Fault::Truncate;
    return m_cut.take() ? Fault::Cut : Fault::None;
}

asio::awaitable<void> Engine::run(HttpExchange &exchange, Run &run)
{
    while (!run.isCancelled && !m_load.tryStart(run.ticket, steady_clock::now())) {
        const bool isConnected = co_await waitWhileConnected(exchange, QueueInterval);
        run.isCancelled = !isConnected;
    }
    if (run.isCancelled)
        co_return;
    run.cachedShare = m_prefixes.use(run.request.prompt);
    if (run.request.isStream)
        co_await answerStream(exchange, run);
    else
        co_await answerWhole(exchange, run);
}

// Takes the time of one token; false when the answer ends here.
asio::awaitable<bool> Engine::generateToken(HttpExchange &exchange, Run &run, std::size_t index)
{
    std::chrono::nanoseconds time = m_settings.tokenGap;
    if (index == 0)
        time = std::chrono::duration_cast<std::chrono::nanoseconds>(m_settings.firstToken
                                                                    * (1 - run.cachedShare));
    time = m_load.stepTime(time, steady_clock::now());
    if (run.fault == Fault::Stall && index == TokensBeforeFault)
        time = std::chrono::hours{24};
    const bool isConnected = co_await waitWhileConnected(exchange, time);
    run.isCancelled = !isConnected;
    if (!isConnected)
        co_return false;
    if (run.fault == Fault::Cut && index == TokensBeforeFault) {
        exchange.drop();
        co_return false;
    }
    ++m_tokens;
    co_return true;
}

asio::awaitable<void> Engine::answerWhole(HttpExchange &exchange, Run &run)
{
    std::string text;
    std::size_t index = 0;
    for (const std::string &token : answerTokens(run.request)) {
        const bool isGenerated = co_await generateToken(exchange, run, index++);
        if (!isGenerated)
            co_return;
        text += token;
    }
    const std::string body = wholeAnswer(run.request, text);
    co_await exchange.respond(200, Json, body);
    ++m_completed;
}

asio::awaitable<void> Engine::answerStream(HttpExchange &exchange, Run &run)
{
    co_await exchange.startStream(200, "text/event-stream");
    std::size_t index = 0;
    for (const std::string &token : answerTokens(run.request)) {
        const bool isGenerated = co_await generateToken(exchange, run, index);
        if (!isGenerated)
            co_return;
        std::string event = tokenEvent(run.request, token, index == 0);
        const bool isSent = co_await exchange.writeChunk(std::move(event));
        run.isCancelled = !isSent;
        if (!isSent)
            co_return;
        ++index;
    }
    if (run.fault != Fault::Truncate) {
        std::string end = finishEvent(run.request) + "data: [DONE]\n\n";
        co_await exchange.writeChunk(std::move(end));
        ++m_completed;
    }
    co_await exchange.finishStream();
}

asio::awaitable<void> Engine::control(HttpExchange &exchange)
{
    const std::string cold = exchange.query("cold");
    bool isValid = cold.empty() || cold == "on" || cold == "off";
    if (isValid && !cold.empty())
        m_load.setCold(cold == "on");
    const std::string refusing = exchange.query("cold-refuses");
    isValid = isValid && (refusing.empty() || refusing == "on" || refusing == "off");
    if (isValid && !refusing.empty())
        m_load.setColdRefusing(refusing == "on");
    const std::pair<const char *, Countdown &> faults[] = {
            {"fail", m_fail}, {"stall", m_stall}, {"truncate", m_truncate}, {"cut", m_cut}};
    for (const auto &[name, countdown] : faults) {
        const std::string value = exchange.query(name);
        isValid = (value.empty() || countdown.set(value)) && isValid;
    }
    isValid = m_commands.control(exchange) && isValid;
    const std::string body = isValid ? "{}" : errorText("a parameter is not on, off or a number");
    co_await exchange.respond(isValid ? 200 : 400, Json, body);
}

std::string Engine::metricsText()
{
    const EngineLoad::Sample sample = m_load.laggedSample(steady_clock::now());
    const PrefixCache::Counts prefixes = m_prefixes.counts();
    const std::string labels = "{model_name=\"" + m_settings.model + "\"} ";
    return "# TYPE engine_requests_running gauge\nengine_requests_running" + labels
            + std::to_string(sample.running)
            + "\n# TYPE engine_requests_waiting gauge\nengine_requests_waiting" + labels
            + std::to_string(sample.waiting)
            + "\n# TYPE engine_prefix_blocks_total counter\nengine_prefix_blocks_total" + labels
            + std::to_string(prefixes.lookedUp)
            + "\n# TYPE engine_prefix_blocks_found_total counter\nengine_prefix_blocks_found_total"
            + labels + std::to_string(prefixes.found) + '\n';
}

std::string Engine::statsText()
{
    const EngineCommands::Counts commands = m_commands.counts();
    const EngineLoad::Stats stats = m_load.stats(steady_clock::now());
    const PrefixCache::Counts prefixes = m_prefixes.counts();
    return boost::json::serialize(
            boost::json::object{{"requests", stats.requests + m_failed},
                                {"completed", m_completed.load()},
                                {"failed", stats.rejected + m_failed},
                                {"cancelled", m_cancelled.load()},
                                {"in_flight", stats.inFlight},
                                {"peak_in_flight", stats.peakInFlight},
                                {"peak_in_flight_cold", stats.peakInFlightCold},
                                {"overload_events", stats.overloadEvents},
                                {"is_cold", stats.isCold},
                                {"tokens", m_tokens.load()},
                                {"prefix_blocks", prefixes.lookedUp},
                                {"prefix_blocks_found", prefixes.found},
                                {"commands_accepted", commands.accepted},
                                {"commands_rejected", commands.rejected},
                                {"commands_late", commands.late},
                                {"commands_held", commands.held},
                                {"key_sightings", m_keySightings.count()}});
}

} // namespace pistachiofall::standins
