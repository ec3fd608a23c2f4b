#pragma once

#include <chrono>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace pistachiofall::store::detail {

/// A connection to the store, or the place for one that is not open yet. One call uses it at a time
/// and runs on its strand, because the timers of the stream are not safe to use otherwise.
struct StoreConnection
{
    explicit StoreConnection(const boost::asio::any_io_executor &executor)
        : stream(boost::asio::make_strand(executor))
    { }

    boost::beast::tcp_stream stream;
    std::chrono::steady_clock::time_point idleSince;
};

} // namespace pistachiofall::store::detail
