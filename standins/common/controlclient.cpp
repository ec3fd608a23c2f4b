#include "common/controlclient.h"

#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds Timeout{5};

// Runs one asynchronous operation to its end; its deadline is that of the stream.
template<typename Start>
bool runStep(asio::io_context &context, boost::system::error_code &error, const Start &start)
{
    start([&error](boost::system::error_code result, auto &&...) { error = result; });
    context.restart();
    context.run();
    return !error;
}

} // namespace

Result<std::string> callControl(std::uint16_t port, const std::string &method,
                                const std::string &target)
{
    asio::io_context context;
    boost::beast::tcp_stream stream(context);
    stream.expires_after(Timeout);
    http::request<http::empty_body> request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, "127.0.0.1");
    request.set(http::field::connection, "close");
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    boost::system::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
    const bool isAnswered =
            runStep(context, error, [&](auto handler) { stream.async_connect(endpoint, handler); })
            && runStep(context, error,
                       [&](auto handler) { http::async_write(stream, request, handler); })
            && runStep(context, error,
                       [&](auto handler) { http::async_read(stream, buffer, response, handler); });
    if (!isAnswered)
        return Error{ErrorCode::Unavailable, "control call failed: " + error.message()};
    if (response.result() != http::status::ok)
        return Error{ErrorCode::InvalidArgument, response.body()};
    return response.body();
}

} // namespace pistachiofall::standins
