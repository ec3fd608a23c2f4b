#pragma once

#include "http/progresswindow.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

namespace pistachiofall::detail {

/// The outcome of one operation on a stream: how many bytes moved before it ended.
struct IoOutcome
{
    boost::system::error_code error;
    std::size_t bytes = 0;
};

/// A TCP connection whose operations have deadlines. An operation that misses its deadline ends
/// with asio::error::timed_out and leaves the connection open. One coroutine at a time reads and
/// one writes; close(), reset() and the timer may run on any thread, which is why a mutex guards
/// the socket. This is the only class that knows the kind of transport.
class HttpStream : public std::enable_shared_from_this<HttpStream>
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    /// Written in this order as if they were one; unused ones are empty.
    using Buffers = std::array<boost::asio::const_buffer, 4>;

    static constexpr TimePoint NoDeadline = TimePoint::max();

    static std::shared_ptr<HttpStream> create(boost::asio::ip::tcp::socket socket);

    /// Opens the connection to the address.
    boost::asio::awaitable<boost::system::error_code>
    connect(boost::asio::ip::tcp::endpoint address, TimePoint deadline);

    /// Reads at least one byte. The end of the stream is asio::error::eof.
    boost::asio::awaitable<IoOutcome> readSome(boost::asio::mutable_buffer buffer,
                                               TimePoint deadline);

    /// Writes all bytes, and fails when the other side takes too few within the window.
    boost::asio::awaitable<IoOutcome> write(Buffers buffers, ProgressWindow &window);

    /// Calls back once, on the stream's executor, when the other side closes the connection. Ends
    /// without a call when it sends data instead, or with stopWatching().
    void watchForClose(std::function<void()> callback);
    void stopWatching();

    /// Whether the connection is open and nothing has arrived on it, not even its end.
    bool isQuiet();

    /// Announces the end of what this side sends, reads what still arrives for at most the time,
    /// and closes. Closing with unread data would reset the connection, and the other side could
    /// lose the answer that it has not read yet.
    boost::asio::awaitable<void> closeGently(std::chrono::milliseconds timeout);
    void close();
    /// Closes so that the other side sees an error and never an orderly end.
    void reset();

private:
    explicit HttpStream(boost::asio::ip::tcp::socket socket);

    template<typename Start>
    boost::asio::awaitable<IoOutcome> run(TimePoint &slot, TimePoint deadline, Start start);
    void armTimer();
    void onTimer();
    void continueWatch(std::uint64_t watch, const std::function<void()> &callback);
    void closeLocked();

    std::mutex m_mutex;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    TimePoint m_readDeadline = NoDeadline;
    TimePoint m_writeDeadline = NoDeadline;
    TimePoint m_timerExpiry = NoDeadline;
    bool m_isClosed = false;
    bool m_isTimedOut = false;
    // The number of the present watch; an older one may still complete after it was stopped.
    std::uint64_t m_watch = 0;
    bool m_isWatching = false;
};

} // namespace pistachiofall::detail
