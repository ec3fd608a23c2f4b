#include "cli/loadcall.h"

#include "http/completionstreamcheck.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Failure = boost::system::error_code;
using std::chrono::steady_clock;

namespace {

constexpr std::uint64_t MaxAnswerBytes = std::uint64_t{64} << 20U;
constexpr unsigned StatusOk = 200;

using Parser = http::response_parser<http::string_body>;

std::string outcomeOf(const Failure &failure)
{
    if (failure == beast::error::timeout)
        return "timeout";
    // The peer closed the connection before the end of the response.
    if (failure == http::error::partial_message)
        return "cut";
    return "error";
}

// Records the arrival times of the tokens of a streamed response.
class TokenTimes
{
public:
    TokenTimes(steady_clock::time_point intendedSendTime, LoadCallResult &result)
        : m_intendedSendTime(intendedSendTime)
        , m_result(result)
    { }

    void feed(const std::string &piece)
    {
        m_check.feed(piece);
        if (m_check.eventCount() == m_eventCount)
            return;
        m_eventCount = m_check.eventCount();
        const auto now = steady_clock::now();
        if (m_result.firstToken)
            m_result.gaps.push_back(now - m_last);
        else
            m_result.firstToken = now - m_intendedSendTime;
        m_last = now;
    }
    bool isComplete() const { return isOk(m_check.check()); }

private:
    const steady_clock::time_point m_intendedSendTime;
    LoadCallResult &m_result;
    CompletionStreamCheck m_check;
    std::uint64_t m_eventCount = 0;
    steady_clock::time_point m_last;
};

http::request<http::string_body> makeRequest(LoadCall &call)
{
    http::request<http::string_body> request{http::verb::post, call.target, 11};
    request.set(http::field::host, call.address.toString());
    request.set(http::field::authorization, "Bearer " + call.key);
    request.set(http::field::content_type, "application/json");
    if (!call.requestId.empty())
        request.set("X-Request-Id", call.requestId);
    request.body() = std::move(call.body);
    request.prepare_payload();
    return request;
}

asio::awaitable<Failure> connect(LoadCall &call)
{
    Failure failure;
    const auto host = asio::ip::make_address(call.address.host(), failure);
    const asio::ip::tcp::endpoint endpoint(host, call.address.port());
    call.connection = std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
    call.connection->expires_at(call.deadline);
    if (!failure) {
        co_await call.connection->async_connect(endpoint,
                                                asio::redirect_error(asio::use_awaitable, failure));
    }
    if (!failure)
        call.connection->socket().set_option(asio::ip::tcp::no_delay(true), failure);
    co_return failure;
}

asio::awaitable<Failure> readAnswer(beast::tcp_stream &connection, Parser &parser,
                                    TokenTimes &tokens)
{
    Failure failure;
    beast::flat_buffer buffer;
    parser.body_limit(MaxAnswerBytes);
    co_await http::async_read_header(connection, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, failure));
    while (!failure && !parser.is_done()) {
        co_await http::async_read_some(connection, buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, failure));
        if (parser.get().result_int() == StatusOk)
            tokens.feed(parser.get().body());
        parser.get().body().clear();
    }
    co_return failure;
}

} // namespace

asio::awaitable<LoadCallResult> makeLoadCall(LoadCall call)
{
    LoadCallResult result;
    Failure failure;
    if (!call.connection)
        failure = co_await connect(call);
    if (!failure) {
        call.connection->expires_at(call.deadline);
        auto request = makeRequest(call);
        co_await http::async_write(*call.connection, request,
                                   asio::redirect_error(asio::use_awaitable, failure));
    }
    Parser parser;
    TokenTimes tokens(call.intendedSendTime, result);
    if (!failure)
        failure = co_await readAnswer(*call.connection, parser, tokens);
    result.latency = steady_clock::now() - call.intendedSendTime;
    if (failure) {
        result.outcome = outcomeOf(failure);
        co_return result;
    }
    const unsigned status = parser.get().result_int();
    const bool isCut = call.isStream && status == StatusOk && !tokens.isComplete();
    result.outcome = isCut ? "cut" : std::to_string(status);
    if (parser.get().keep_alive() && !isCut)
        result.connection = std::move(call.connection);
    if (!call.isStream) {
        result.firstToken.reset();
        result.gaps.clear();
    }
    co_return result;
}

} // namespace pistachiofall
