#include "common/platformwatch.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

// How soon a closed connection is noticed that nothing is sent on.
constexpr std::chrono::milliseconds CloseCheckInterval{100};

ApiAnswer expiredAnswer()
{
    return statusAnswer(410, "Expired", "too old resource version");
}

// Sends what changed after the revision and moves it on; false when the watch is to end.
asio::awaitable<bool> sendChanges(PlatformState &state, const ApiRequest &request,
                                  HttpExchange &exchange, std::uint64_t &revision)
{
    const auto changes = state.objects.changesAfter(revision, request.selection);
    if (!changes) {
        const std::string line = R"({"type":"ERROR","object":)" + expiredAnswer().body + "}\n";
        co_await exchange.writeChunk(line);
        co_return false;
    }
    revision = changes->revision;
    if (changes->lines.empty())
        co_return !exchange.isPeerClosed();
    co_return co_await exchange.writeChunk(changes->lines);
}

asio::awaitable<void> sendEvents(std::shared_ptr<PlatformState> state, const ApiRequest &request,
                                 HttpExchange &exchange, std::uint64_t revision)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + request.watchTimeout;
    for (;;) {
        const std::uint64_t generation = state->changed.generation();
        const PlatformMode mode = state->faults.mode();
        if (mode == PlatformMode::Down)
            co_return exchange.drop();
        if (mode == PlatformMode::Hang)
            co_return co_await hangPlatformCall(exchange);
        const bool isOpen = co_await sendChanges(*state, request, exchange, revision);
        const TimePoint now = std::chrono::steady_clock::now();
        if (!isOpen || now >= deadline)
            break;
        co_await state->changed.wait(generation, std::min(deadline, now + CloseCheckInterval));
    }
    co_await exchange.finishStream();
}

} // namespace

asio::awaitable<void> hangPlatformCall(HttpExchange &exchange)
{
    asio::steady_timer timer(exchange.socket().get_executor());
    while (!exchange.isPeerClosed()) {
        timer.expires_after(CloseCheckInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    exchange.drop();
}

asio::awaitable<void> servePlatformWatch(std::shared_ptr<PlatformState> state, ApiRequest request,
                                         HttpExchange &exchange)
{
    std::string firstLines;
    std::uint64_t revision = request.fromRevision.value_or(0);
    if (!request.fromRevision) {
        const auto present = state->objects.presentState(request.selection);
        firstLines = present.lines;
        revision = present.revision;
    } else if (revision > state->objects.revision()) {
        const ApiAnswer answer = statusAnswer(504, "Timeout", "Too large resource version");
        co_return co_await exchange.respond(answer.status, "application/json", answer.body);
    } else if (!state->objects.changesAfter(revision, request.selection)) {
        const ApiAnswer answer = expiredAnswer();
        co_return co_await exchange.respond(answer.status, "application/json", answer.body);
    }
    co_await exchange.startStream(200, "application/json");
    if (!firstLines.empty())
        co_await exchange.writeChunk(firstLines);
    co_await sendEvents(std::move(state), request, exchange, revision);
}

} // namespace pistachiofall::standins
