#include "store/httpcall.h"

#include "store/callerror.h"

#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

namespace pistachiofall::store::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using pistachiofall::detail::AnswerReader;

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

// A connection that goes silent while a watch waits is found broken after two seconds, without
// calls that poll the store.
constexpr int KeepAliveSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr int UserTimeoutMilliseconds = 2000;

void enableKeepAlive(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdle(KeepAliveSeconds), ignored);
    socket.set_option(KeepInterval(KeepAliveSeconds), ignored);
    socket.set_option(KeepCount(KeepAliveProbes), ignored);
    socket.set_option(UserTimeout(UserTimeoutMilliseconds), ignored);
}

asio::awaitable<Result<HttpAnswer>> runCall(std::shared_ptr<ConnectionPool> pool,
                                            std::unique_ptr<StoreConnection> connection,
                                            CallKind kind, HttpRequest request, TimePoint deadline)
{
    connection->stream.expires_at(deadline);
    const Result<Done> sent = co_await sendRequest(*connection, pool->endpoint(), request, kind);
    if (!isOk(sent)) {
        pool->clear();
        co_return errorOf(sent);
    }
    const auto reader = readerOf(*connection, request);
    const Result<HttpAnswer> answer = co_await readAnswer(*reader, kind, deadline);
    if (!isOk(answer))
        pool->clear();
    else if (reader->isReusable())
        pool->put(std::move(connection));
    co_return answer;
}

} // namespace

HttpRequest makeRequest(http::verb verb, const std::string &target, const std::string &host,
                        std::string body)
{
    HttpRequest request(verb, target, 11);
    request.set(http::field::host, host);
    request.set(http::field::accept, "application/json");
    if (!body.empty())
        request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

asio::awaitable<Result<Done>> sendRequest(StoreConnection &connection,
                                          const asio::ip::tcp::endpoint &endpoint,
                                          const HttpRequest &request, CallKind kind)
{
    boost::system::error_code error;
    if (!connection.stream.socket().is_open()) {
        co_await connection.stream.async_connect(endpoint,
                                                 asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return connectionError(kind, false, error);
        boost::system::error_code ignored;
        connection.stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        enableKeepAlive(connection.stream.socket());
    }
    const std::size_t sentBytes = co_await http::async_write(
            connection.stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return connectionError(kind, sentBytes > 0, error);
    co_return Done{};
}

std::unique_ptr<AnswerReader> readerOf(StoreConnection &connection, const HttpRequest &request)
{
    const auto method = request.method_string();
    constexpr bool AcceptsEndByClose = true;
    return std::make_unique<AnswerReader>(
            &connection.stream, std::string_view(method.data(), method.size()), AcceptsEndByClose);
}

asio::awaitable<Result<std::string>> readBody(AnswerReader &reader, CallKind kind,
                                              TimePoint deadline)
{
    std::string body;
    for (;;) {
        const Result<std::string> piece = co_await reader.readBodySome(deadline);
        if (!isOk(piece))
            co_return answerReadError(kind, errorOf(piece));
        if (valueOf(piece).empty())
            co_return body;
        if (valueOf(piece).size() > MaxAnswerBytes - body.size())
            co_return answerReadError(
                    kind,
                    {ErrorCode::TooLarge,
                     "the answer is longer than " + std::to_string(MaxAnswerBytes) + " bytes"});
        body += valueOf(piece);
    }
}

asio::awaitable<Result<HttpAnswer>> readAnswer(AnswerReader &reader, CallKind kind,
                                               TimePoint deadline)
{
    const Result<AnswerHead> head = co_await reader.readHead(deadline);
    if (!isOk(head))
        co_return answerReadError(kind, errorOf(head));
    Result<std::string> body = co_await readBody(reader, kind, deadline);
    if (!isOk(body))
        co_return errorOf(body);
    co_return HttpAnswer{valueOf(head).status, valueOf(std::move(body))};
}

asio::awaitable<Result<HttpAnswer>> httpCall(std::shared_ptr<ConnectionPool> pool, CallKind kind,
                                             HttpRequest request, std::chrono::milliseconds timeout)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
    auto connection = pool->take();
    const auto strand = connection->stream.get_executor();
    auto call = runCall(std::move(pool), std::move(connection), kind, std::move(request), deadline);
    co_return co_await asio::co_spawn(strand, std::move(call), asio::use_awaitable);
}

} // namespace pistachiofall::store::detail
