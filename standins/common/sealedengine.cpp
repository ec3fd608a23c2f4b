#include "common/sealedengine.h"

#include "common/pause.h"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;

namespace {

std::string headOf(const std::string &requestId, const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nReply-Seal: seal-" + requestId
            + "\r\n" + fields + "\r\n";
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

asio::awaitable<void> SealedEngine::handle(HttpExchange &exchange)
{
    if (exchange.path() == "/control/seen") {
        std::string text;
        for (const auto &[id, runs] : m_runs)
            text += id + "=" + std::to_string(runs) + "\n";
        co_await exchange.respond(200, "text/plain", std::move(text));
        co_return;
    }
    if (exchange.path() == "/control/cut") {
        m_cutAfter = std::stoi(exchange.query("events", "-1"));
        co_await exchange.respond(200, "text/plain", "");
        co_return;
    }
    if (exchange.header("Expect-Instance") != m_settings.id) {
        co_await exchange.respond(421, "text/plain", "");
        co_return;
    }
    std::string requestId = exchange.header("Request-Id");
    ++m_runs[requestId];
    if (exchange.path().find("/stream/") != std::string::npos) {
        co_await stream(exchange, std::move(requestId));
        co_return;
    }
    const std::string &body = exchange.body();
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    std::string text = headOf(requestId, length) + body;
    co_await write(exchange, std::move(text));
}

asio::awaitable<void> SealedEngine::stream(HttpExchange &exchange, std::string requestId)
{
    std::string head =
            headOf(requestId, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    bool isOpen = co_await write(exchange, std::move(head));
    const std::string last = exchange.header("Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    const int cutAfter = std::exchange(m_cutAfter, -1);
    for (int event = first; isOpen && event <= m_settings.events; ++event) {
        if (cutAfter >= 0 && event > cutAfter) {
            // In the middle of an event.
            std::string half = chunkOf("id: " + std::to_string(event) + "\nda");
            co_await write(exchange, std::move(half));
            exchange.drop();
            co_return;
        }
        std::string text = chunkOf("id: " + std::to_string(event)
                                   + "\ndata: " + eventData(requestId, event) + "\n\n");
        isOpen = co_await write(exchange, std::move(text));
        co_await pause(m_settings.eventGap);
    }
    if (isOpen)
        co_await write(exchange, "0\r\n\r\n");
}

} // namespace pistachiofall::standins
