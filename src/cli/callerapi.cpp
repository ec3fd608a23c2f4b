#include "cli/callerapi.h"

#include <array>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t ReadBufferBytes = 64 * 1024;
constexpr std::size_t MaxErrorBytes = 64 * 1024;

/// A connection on which each asynchronous operation blocks until it completes or times out.
class BlockingConnection
{
public:
    explicit BlockingConnection(std::chrono::milliseconds timeout)
        : m_timeout(timeout)
        , m_stream(m_context)
    { }

    template<typename Start>
    boost::system::error_code run(Start start)
    {
        boost::system::error_code result;
        m_stream.expires_after(m_timeout);
        start(m_stream, [&result](boost::system::error_code error, auto &&...) { result = error; });
        m_context.restart();
        m_context.run();
        return result;
    }

private:
    std::chrono::milliseconds m_timeout;
    asio::io_context m_context;
    boost::beast::tcp_stream m_stream;
};

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

// Returns an error with the message of the JSON body, or with the status if there is no message.
Error errorOfAnswer(unsigned status, const std::string &body)
{
    boost::system::error_code ignored;
    const auto parsed = boost::json::parse(body, ignored);
    if (const auto *object = parsed.if_object()) {
        const auto *error = object->if_contains("error");
        const auto *text = error != nullptr && error->is_object()
                ? error->get_object().if_contains("message")
                : nullptr;
        if (text != nullptr && text->is_string())
            return {ErrorCode::Unavailable, std::string(text->get_string())};
    }
    return {ErrorCode::Unavailable, "the instance answered with status " + std::to_string(status)};
}

} // namespace

Result<Done> callCallerApi(const CallerApiRequest &request,
                           const std::function<void(std::string_view)> &onBody)
{
    BlockingConnection apiConnection(request.timeout);
    const tcp::endpoint endpoint(asio::ip::make_address(request.address.host()),
                                 request.address.port());
    auto error = apiConnection.run(
            [&](auto &stream, auto done) { stream.async_connect(endpoint, std::move(done)); });
    if (error)
        return Error{ErrorCode::Unavailable,
                     "cannot connect to " + request.address.toString() + ": " + error.message()};
    const auto message = makeRequest(request);
    apiConnection.run(
            [&](auto &stream, auto done) { http::async_write(stream, message, std::move(done)); });
    // The server may reject a request before it has read the whole body, so the response is read
    // even when the write fails.
    boost::beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    const auto incompleteAnswer = [](const boost::system::error_code &reason) {
        return Error{ErrorCode::OutcomeUnknown, "no complete answer: " + reason.message()};
    };
    error = apiConnection.run([&](auto &stream, auto done) {
        http::async_read_header(stream, buffer, parser, std::move(done));
    });
    if (error)
        return incompleteAnswer(error);
    const unsigned status = parser.get().result_int();
    const bool isSuccess = status >= 200 && status < 300;
    std::string errorBody;
    std::array<char, ReadBufferBytes> readBuffer{};
    while (!parser.is_done()) {
        parser.get().body().data = readBuffer.data();
        parser.get().body().size = readBuffer.size();
        error = apiConnection.run([&](auto &stream, auto done) {
            http::async_read(stream, buffer, parser, std::move(done));
        });
        if (error && error != http::error::need_buffer)
            return incompleteAnswer(error);
        const std::string_view bytes(readBuffer.data(),
                                     readBuffer.size() - parser.get().body().size);
        if (isSuccess)
            onBody(bytes);
        else if (errorBody.size() < MaxErrorBytes)
            errorBody += bytes;
    }
    if (!isSuccess)
        return errorOfAnswer(status, errorBody);
    return Done{};
}

} // namespace pistachiofall
