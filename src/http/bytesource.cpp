#include "http/bytesource.h"

#include "base/overloaded.h"

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>

namespace pistachiofall::detail {

namespace asio = boost::asio;

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

asio::awaitable<IoOutcome> readFromTcp(boost::beast::tcp_stream *stream,
                                       asio::mutable_buffer buffer, TimePoint deadline)
{
    IoOutcome outcome;
    stream->expires_at(deadline);
    outcome.bytes = co_await stream->async_read_some(
            buffer, asio::redirect_error(asio::use_awaitable, outcome.error));
    if (outcome.error == boost::beast::error::timeout)
        outcome.error = asio::error::timed_out;
    co_return outcome;
}

} // namespace

asio::awaitable<IoOutcome> readSome(const ByteSource &source, asio::mutable_buffer buffer,
                                    TimePoint deadline)
{
    const Overloaded read{
            [&](const std::shared_ptr<HttpStream> &stream) {
                return stream->readSome(buffer, deadline);
            },
            [&](boost::beast::tcp_stream *stream) { return readFromTcp(stream, buffer, deadline); },
    };
    return std::visit(read, source);
}

} // namespace pistachiofall::detail
