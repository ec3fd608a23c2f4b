#include "cli/fetchrulesversion.h"

#include "base/socketaddress.h"
#include "http/answerreader.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using StatusRequest = http::request<http::empty_body>;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr std::size_t MaxStatusBytes = std::size_t{4} << 20U;
constexpr unsigned StatusOk = 200;

Result<std::uint64_t> parseStatus(const std::string &body)
{
    const Error malformed{ErrorCode::ProtocolError, "/status has no rulesVersion"};
    boost::system::error_code error;
    const boost::json::value status = boost::json::parse(body, error);
    if (error || !status.is_object())
        return malformed;
    const auto *version = status.as_object().if_contains("rulesVersion");
    if (version == nullptr)
        return malformed;
    const auto number = version->to_number<std::uint64_t>(error);
    if (error)
        return malformed;
    return number;
}

asio::awaitable<boost::system::error_code> sendRequest(boost::beast::tcp_stream &stream,
                                                       const asio::ip::tcp::endpoint &endpoint,
                                                       const StatusRequest &request)
{
    boost::system::error_code error;
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return error;
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

Error noAnswer(const std::string &reason)
{
    return {ErrorCode::Unavailable, "no answer: " + reason};
}

asio::awaitable<Result<std::string>> readPage(boost::beast::tcp_stream &stream, TimePoint deadline)
{
    detail::AnswerReader reader(&stream, "GET");
    const Result<AnswerHead> head = co_await reader.readHead(deadline);
    if (!isOk(head))
        co_return noAnswer(errorOf(head).message);
    if (valueOf(head).status != StatusOk)
        co_return Error{ErrorCode::Unavailable,
                        "/status answered " + std::to_string(valueOf(head).status)};
    std::string page;
    for (;;) {
        const Result<std::string> piece = co_await reader.readBodySome(deadline);
        if (!isOk(piece))
            co_return noAnswer(errorOf(piece).message);
        if (valueOf(piece).empty())
            co_return page;
        page += valueOf(piece);
        if (page.size() > MaxStatusBytes)
            co_return noAnswer("the page is longer than " + std::to_string(MaxStatusBytes)
                               + " bytes");
    }
}

} // namespace

asio::awaitable<Result<std::uint64_t>> fetchRulesVersion(std::string adminAddress,
                                                         std::chrono::milliseconds timeout)
{
    const auto address = SocketAddress::parse(adminAddress);
    if (!isOk(address))
        co_return errorOf(address);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(valueOf(address).host()),
                                           valueOf(address).port());
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
    stream.expires_at(deadline);
    StatusRequest request(http::verb::get, "/status", 11);
    request.set(http::field::host, adminAddress);
    request.keep_alive(false);
    const auto error = co_await sendRequest(stream, endpoint, request);
    if (error)
        co_return noAnswer(error.message());
    const Result<std::string> page = co_await readPage(stream, deadline);
    if (!isOk(page))
        co_return errorOf(page);
    co_return parseStatus(valueOf(page));
}

} // namespace pistachiofall
