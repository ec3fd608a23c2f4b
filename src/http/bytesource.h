#pragma once

#include "http/httpstream.h"

#include <chrono>
#include <memory>
#include <variant>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace pistachiofall::detail {

/// A connection to read from. Whoever reads from a tcp_stream sees to it that it outlives the
/// reading.
using ByteSource = std::variant<std::shared_ptr<HttpStream>, boost::beast::tcp_stream *>;

/// Reads at least one byte. The end of the stream is asio::error::eof, a missed deadline
/// asio::error::timed_out.
boost::asio::awaitable<IoOutcome> readSome(const ByteSource &source,
                                           boost::asio::mutable_buffer buffer,
                                           std::chrono::steady_clock::time_point deadline);

} // namespace pistachiofall::detail
