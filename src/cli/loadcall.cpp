#include "cli/loadcall.h"

#include "http/answerreader.h"
#include "http/completionstreamcheck.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Failure = boost::system::error_code;
using std::chrono::steady_clock;

namespace {

constexpr std::uint64_t MaxAnswerBytes = std::uint64_t{64} << 20U;
constexpr unsigned StatusOk = 200;

std::string outcomeOf(const Failure &failure)
{
    return failure == beast::error::timeout ? "timeout" : "error";
}

std::string outcomeOf(const Error &failure, const detail::AnswerReader &reader)
{
    if (failure.code == ErrorCode::TimedOut)
        return "timeout";
    // The connection ended before the answer did.
    if (failure.code == ErrorCode::OutcomeUnknown && reader.hasAnyByte())
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

// Reads the rest of an answer. Returns what is wrong with it.
asio::awaitable<std::optional<Error>> readBody(detail::AnswerReader &reader, unsigned status,
                                               steady_clock::time_point deadline,
                                               TokenTimes &tokens)
{
    std::uint64_t bodyBytes = 0;
    for (;;) {
        const Result<std::string> piece = co_await reader.readBodySome(deadline);
        if (!isOk(piece))
            co_return errorOf(piece);
        if (valueOf(piece).empty())
            co_return std::nullopt;
        bodyBytes += valueOf(piece).size();
        if (bodyBytes > MaxAnswerBytes)
            co_return Error{ErrorCode::TooLarge, "the answer is too long"};
        if (status == StatusOk)
            tokens.feed(valueOf(piece));
    }
}

// Reads the answer and sets the outcome. Keeps the connection if it can be used again.
asio::awaitable<void> readAnswer(LoadCall &call, LoadCallResult &result)
{
    TokenTimes tokens(call.intendedSendTime, result);
    detail::AnswerReader reader(call.connection.get(), "POST");
    const Result<AnswerHead> head = co_await reader.readHead(call.deadline);
    if (!isOk(head)) {
        result.outcome = outcomeOf(errorOf(head), reader);
        co_return;
    }
    const unsigned status = valueOf(head).status;
    const std::optional<Error> failure = co_await readBody(reader, status, call.deadline, tokens);
    if (failure) {
        result.outcome = outcomeOf(*failure, reader);
        co_return;
    }
    const bool isCut = call.isStream && status == StatusOk && !tokens.isComplete();
    result.outcome = isCut ? "cut" : std::to_string(status);
    if (reader.isReusable() && !isCut)
        result.connection = std::move(call.connection);
    if (!call.isStream) {
        result.firstToken.reset();
        result.gaps.clear();
    }
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
    if (failure)
        result.outcome = outcomeOf(failure);
    else
        co_await readAnswer(call, result);
    result.latency = steady_clock::now() - call.intendedSendTime;
    co_return result;
}

} // namespace pistachiofall
