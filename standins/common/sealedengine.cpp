#include "common/sealedengine.h"

#include "common/pause.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string_view>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;

namespace {

constexpr std::size_t EndlessPieceBytes = 1024;
constexpr std::string_view CutHeadMode = "cut-head-";
constexpr std::string_view LoseMode = "lose-";
constexpr int EventsBeforeTrickle = 3;
constexpr std::chrono::milliseconds TrickleGap{50};

std::uint16_t callerPort(HttpExchange &exchange)
{
    boost::system::error_code error;
    const auto caller = exchange.socket().remote_endpoint(error);
    return error ? 0 : caller.port();
}

std::string chunkOf(const std::string &text)
{
    static constexpr const char *Digits = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = text.size(); rest > 0; rest /= 16)
        size.insert(size.begin(), Digits[rest % 16]);
    return size + "\r\n" + text + "\r\n";
}

} // namespace

SealedEngine::SealedEngine(Settings settings)
    : m_settings(std::move(settings))
{ }

std::string SealedEngine::eventData(const std::string &requestId, int event)
{
    return requestId + "-" + std::to_string(event);
}

asio::awaitable<bool> SealedEngine::write(HttpExchange &exchange, std::string text)
{
    boost::system::error_code error;
    co_await asio::async_write(exchange.socket(), asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

std::string SealedEngine::headOf(unsigned status, const std::string &requestId,
                                 const std::string &fields) const
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nRequest-Id: " + requestId
            + "\r\nReply-Seal: seal-" + requestId + "\r\n" + fields
            + (m_isLeaving ? "Server-Leaving: 1\r\n" : "") + "\r\n";
}

bool SealedEngine::hasDeadlyPart(const HttpExchange &exchange) const
{
    const std::string parts = "," + exchange.header("Prompt-Prefix");
    return !m_settings.deadlyPart.empty()
            && parts.find("," + m_settings.deadlyPart + ":") < parts.rfind(',');
}

std::string SealedEngine::takeMode()
{
    if (m_modeCount == 0)
        return {};
    --m_modeCount;
    return m_mode;
}

asio::awaitable<void> SealedEngine::control(HttpExchange &exchange)
{
    std::string text;
    if (exchange.path() == "/control/seen") {
        for (const auto &[id, runs] : m_runs)
            text += id + "=" + std::to_string(runs) + "\n";
    } else if (exchange.path() == "/control/cut") {
        m_cutAfter = std::stoi(exchange.query("events", "-1"));
    } else if (exchange.path() == "/control/mode") {
        m_mode = exchange.query("name");
        m_modeCount = std::stoi(exchange.query("count", "1"));
    } else if (exchange.path() == "/control/fail") {
        m_failing[exchange.query("id")] =
                static_cast<unsigned>(std::stoul(exchange.query("status", "500")));
    } else if (exchange.path() == "/control/leave") {
        m_isLeaving = true;
    }
    co_await exchange.respond(200, "text/plain", std::move(text));
}

asio::awaitable<void> SealedEngine::handle(HttpExchange &exchange)
{
    if (exchange.path().starts_with("/control/")) {
        co_await control(exchange);
        co_return;
    }
    if (exchange.header("Expect-Instance") != m_settings.id) {
        co_await exchange.respond(421, "text/plain", "");
        co_return;
    }
    const auto repeated = m_repeated.find(callerPort(exchange));
    if (repeated != m_repeated.end()) {
        std::string refusal = repeated->second;
        m_repeated.erase(repeated);
        co_await write(exchange, std::move(refusal));
    }
    co_await run(exchange, exchange.header("Request-Id"));
}

asio::awaitable<void> SealedEngine::run(HttpExchange &exchange, std::string requestId)
{
    const std::string mode = takeMode();
    if (mode.starts_with("refuse")) {
        co_await refuse(exchange, requestId, mode == "refuse-again");
        co_return;
    }
    ++m_runs[requestId];
    if (hasDeadlyPart(exchange))
        std::_Exit(1);
    const auto failing = m_failing.find(requestId);
    if (failing != m_failing.end()) {
        std::string text = headOf(failing->second, requestId, "Content-Length: 6\r\n") + "broken";
        co_await write(exchange, std::move(text));
        co_return;
    }
    if (mode == "silent") {
        co_await staySilent(exchange);
        co_return;
    }
    if (mode.starts_with(LoseMode)) {
        co_await loseAnswer(exchange,
                            std::chrono::milliseconds{std::stoi(mode.substr(LoseMode.size()))});
        co_return;
    }
    if (mode == "trickle") {
        co_await trickle(exchange, std::move(requestId));
        co_return;
    }
    if (mode.starts_with("endless")) {
        co_await writeEndless(exchange, std::move(requestId), mode);
        co_return;
    }
    if (mode.starts_with(CutHeadMode)) {
        co_await writePartOfHead(exchange, requestId, std::stoul(mode.substr(CutHeadMode.size())));
        co_return;
    }
    if (mode == "error") {
        std::string text = headOf(500, requestId, "Content-Length: 6\r\n") + "broken";
        co_await write(exchange, std::move(text));
        co_return;
    }
    if (mode == "empty") {
        std::string text = headOf(200, requestId, "Content-Length: 0\r\n");
        co_await write(exchange, std::move(text));
        co_return;
    }
    if (exchange.path().find("/stream/") != std::string::npos) {
        co_await stream(exchange, std::move(requestId), mode == "close");
        co_return;
    }
    const std::string &body = exchange.body();
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    std::string text = headOf(200, requestId, mode == "close" ? std::string() : length) + body;
    co_await write(exchange, std::move(text));
    if (mode == "close")
        exchange.socket().close();
}

asio::awaitable<void> SealedEngine::refuse(HttpExchange &exchange, const std::string &requestId,
                                           bool isRepeated)
{
    const std::string text = headOf(503, requestId, "Not-Run: 1\r\nContent-Length: 0\r\n");
    if (isRepeated)
        m_repeated[callerPort(exchange)] = text;
    std::string sent = text;
    co_await write(exchange, std::move(sent));
}

asio::awaitable<void> SealedEngine::staySilent(HttpExchange &exchange)
{
    boost::system::error_code error;
    std::array<char, 1> byte{};
    co_await exchange.socket().async_read_some(asio::buffer(byte),
                                               asio::redirect_error(asio::use_awaitable, error));
    exchange.drop();
}

asio::awaitable<void> SealedEngine::loseAnswer(HttpExchange &exchange,
                                               std::chrono::milliseconds after)
{
    co_await pause(after);
    boost::system::error_code ignored;
    exchange.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    exchange.socket().close(ignored);
}

// Sends events up to some point, and then bytes of the next one until the caller closes.
asio::awaitable<void> SealedEngine::trickle(HttpExchange &exchange, std::string requestId)
{
    std::string text = headOf(200, requestId,
                              "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    const std::string last = exchange.header("Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    for (int event = first; event < first + EventsBeforeTrickle; ++event)
        text += chunkOf("id: " + std::to_string(event) + "\ndata: " + eventData(requestId, event)
                        + "\n\n");
    text += chunkOf("data: ");
    bool isOpen = co_await write(exchange, std::move(text));
    while (isOpen) {
        co_await pause(TrickleGap);
        std::string piece = chunkOf("x");
        isOpen = co_await write(exchange, std::move(piece));
    }
    exchange.drop();
}

// Closes the connection in an orderly way after some bytes of the head.
asio::awaitable<void> SealedEngine::writePartOfHead(HttpExchange &exchange,
                                                    const std::string &requestId, std::size_t bytes)
{
    const bool isStream = exchange.path().find("/stream/") != std::string::npos;
    const std::string head = headOf(200, requestId,
                                    isStream ? "Content-Type: text/event-stream\r\n"
                                               "Transfer-Encoding: chunked\r\n"
                                             : "Content-Length: 5\r\n");
    std::string part = head.substr(0, std::min(bytes, head.size() - 1));
    co_await write(exchange, std::move(part));
    exchange.socket().close();
}

std::string SealedEngine::headOfEndlessBody(const HttpExchange &exchange,
                                            const std::string &requestId,
                                            const std::string &mode) const
{
    const bool isStream = exchange.path().find("/stream/") != std::string::npos;
    std::string fields = isStream ? "Content-Type: text/event-stream\r\n" : "";
    if (mode == "endless-length")
        fields += "Content-Length: 1000000000000\r\n";
    else if (mode != "endless-close")
        fields += "Transfer-Encoding: chunked\r\n";
    return headOf(mode == "endless-error" ? 500 : 200, requestId, fields);
}

asio::awaitable<void> SealedEngine::writeEndless(HttpExchange &exchange, std::string requestId,
                                                 const std::string &mode)
{
    const std::string head = headOf(
            200, requestId, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    std::string begin;
    std::string repeated(EndlessPieceBytes, 'x');
    if (mode == "endless-head") {
        begin = "HTTP/1.1 200 OK\r\n";
        repeated = "X-Fill: " + repeated + "\r\n";
    } else if (mode == "endless-interim") {
        repeated = "HTTP/1.1 100 Continue\r\n\r\n";
    } else if (mode == "endless-events") {
        begin = head;
        repeated = chunkOf("data: " + repeated + "\n\n");
    } else if (mode != "endless-bytes") {
        begin = headOfEndlessBody(exchange, requestId, mode);
        if (mode == "endless-chunks" || mode == "endless-error")
            repeated = chunkOf(repeated);
    }
    bool isOpen = co_await write(exchange, std::move(begin));
    while (isOpen) {
        std::string piece = repeated;
        isOpen = co_await write(exchange, std::move(piece));
    }
    exchange.drop();
}

asio::awaitable<void> SealedEngine::stream(HttpExchange &exchange, std::string requestId,
                                           bool endsByClose)
{
    const std::string framing = endsByClose ? "" : "Transfer-Encoding: chunked\r\n";
    std::string head = headOf(200, requestId, "Content-Type: text/event-stream\r\n" + framing);
    bool isOpen = co_await write(exchange, std::move(head));
    const std::string last = exchange.header("Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    const int cutAfter = std::exchange(m_cutAfter, -1);
    const auto framed = [endsByClose](const std::string &text) {
        return endsByClose ? text : chunkOf(text);
    };
    for (int event = first; isOpen && event <= m_settings.events; ++event) {
        if (cutAfter >= 0 && event > cutAfter) {
            // In the middle of an event.
            std::string half = framed("id: " + std::to_string(event) + "\nda");
            co_await write(exchange, std::move(half));
            if (endsByClose)
                exchange.socket().close();
            else
                exchange.drop();
            co_return;
        }
        std::string text = framed("id: " + std::to_string(event)
                                  + "\ndata: " + eventData(requestId, event) + "\n\n");
        isOpen = co_await write(exchange, std::move(text));
        co_await pause(m_settings.eventGap);
    }
    if (isOpen && !endsByClose)
        co_await write(exchange, "0\r\n\r\n");
    if (endsByClose)
        exchange.socket().close();
}

} // namespace pistachiofall::standins
