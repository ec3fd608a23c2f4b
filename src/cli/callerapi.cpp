#include "cli/callerapi.h"

#include "http/answerreader.h"
#include "http/erroranswer.h"

#include <future>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t MaxErrorBytes = 64 * 1024;

http::request<http::string_body> makeRequest(const CallerApiRequest &request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, request.address.toString());
    message.set(http::field::connection, "close");
    message.set(http::field::authorization, "Bearer " + request.key);
    if (!request.idempotencyKey.empty())
        message.set("Idempotency-Key", request.idempotencyKey);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

// The text of a field, if the object has it as a string.
std::optional<std::string> textOf(const boost::json::object &object, std::string_view field)
{
    const auto *value = object.if_contains(boost::json::string_view(field.data(), field.size()));
    if (value == nullptr || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string());
}

// An error with the message of the JSON body, or with the status if there is no message.
// OutcomeUnknown if the answer says that the call may have had an effect.
Error errorOfAnswer(unsigned status, const std::string &body)
{
    Error result{ErrorCode::Unavailable,
                 "the instance answered with status " + std::to_string(status)};
    boost::system::error_code ignored;
    const auto parsed = boost::json::parse(body, ignored);
    const auto *object = parsed.if_object();
    const auto *error = object == nullptr ? nullptr : object->if_contains("error");
    if (error == nullptr || !error->is_object())
        return result;
    result.message = textOf(error->get_object(), "message").value_or(result.message);
    if (textOf(error->get_object(), "run") == toString(RunState::Unknown))
        result.code = ErrorCode::OutcomeUnknown;
    return result;
}

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

// Connects and sends the request. Fails only if there is no connection: an instance may reject a
// request before it has read the whole body, and its answer is there to be read although the rest
// can not be written.
asio::awaitable<Result<Done>> sendRequest(boost::beast::tcp_stream &stream,
                                          const CallerApiRequest &request)
{
    const tcp::endpoint endpoint(asio::ip::make_address(request.address.host()),
                                 request.address.port());
    boost::system::error_code error;
    stream.expires_after(request.timeout);
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return Error{ErrorCode::Unavailable,
                        "cannot connect to " + request.address.toString() + ": " + error.message()};
    const auto message = makeRequest(request);
    boost::system::error_code ignored;
    stream.expires_after(request.timeout);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, ignored));
    co_return Done{};
}

Error incompleteAnswer(const Error &cause)
{
    return {ErrorCode::OutcomeUnknown, "no complete answer: " + cause.message};
}

asio::awaitable<Result<Done>> exchange(const CallerApiRequest &request, const BodyHandler &onBody)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    const Result<Done> sent = co_await sendRequest(stream, request);
    if (!isOk(sent))
        co_return errorOf(sent);
    // Instances mark the end of each answer. After a write that failed, the end of the connection
    // would not tell whether the answer is whole.
    detail::AnswerReader reader(&stream, request.method);
    const auto deadline = [&request] { return std::chrono::steady_clock::now() + request.timeout; };
    const Result<AnswerHead> head = co_await reader.readHead(deadline());
    if (!isOk(head))
        co_return incompleteAnswer(errorOf(head));
    const unsigned status = valueOf(head).status;
    std::string errorBody;
    for (;;) {
        const Result<std::string> piece = co_await reader.readBodySome(deadline());
        if (!isOk(piece))
            co_return incompleteAnswer(errorOf(piece));
        if (valueOf(piece).empty())
            break;
        if (isSuccess(status))
            onBody(valueOf(piece));
        else if (errorBody.size() < MaxErrorBytes)
            errorBody += valueOf(piece);
    }
    if (!isSuccess(status))
        co_return errorOfAnswer(status, errorBody);
    co_return Done{};
}

} // namespace

Result<Done> callCallerApi(const CallerApiRequest &request, const BodyHandler &onBody)
{
    asio::io_context context;
    auto result = asio::co_spawn(context, exchange(request, onBody), asio::use_future);
    context.run();
    return result.get();
}

} // namespace pistachiofall
