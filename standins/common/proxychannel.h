#pragma once

#include "common/proxyfault.h"
#include "common/routestate.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pistachiofall::standins {

/// One direction of a proxied connection: a queue of data between two sockets, each with the time
/// at which it may go on. Everything but the silent flag runs on the strand of the sockets.
class ProxyChannel
{
public:
    /// How the sending side has ended its data.
    enum class End { None, Closed, Reset };

    ProxyChannel(boost::asio::ip::tcp::socket &from, boost::asio::ip::tcp::socket &to,
                 RouteState &state, bool isToTarget, std::uint64_t connectionNumber);

    /// Reads until the sending side ends or its socket is closed here.
    boost::asio::awaitable<void> read();

    /// Forwards until the end of the data. Returns how it ended; a silent channel ends with None.
    boost::asio::awaitable<End> write();

    /// From now on nothing is forwarded, not even the end of the data; what comes is discarded.
    void setSilent() { m_isSilent = true; }
    bool isSilent() const { return m_isSilent; }

    /// Ends waiting reads and writes; the sockets are closed by the caller.
    void abort();

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Item
    {
        TimePoint due;
        std::string data;
        End end = End::None;
    };

    void push(std::string data, End end);
    TimePoint nextDue();
    boost::asio::awaitable<void> waitUntil(boost::asio::steady_timer &timer, TimePoint time);
    boost::asio::awaitable<void> waitForFront();

    boost::asio::ip::tcp::socket &m_from;
    boost::asio::ip::tcp::socket &m_to;
    RouteState &m_state;
    const bool m_isToTarget;
    const std::uint64_t m_connectionNumber;
    std::atomic<bool> m_isSilent{false};
    bool m_isAborted = false;
    std::deque<Item> m_items;
    std::size_t m_queuedBytes = 0;
    TimePoint m_lastDue{};
    // The generator for jitter and the seed that it began with.
    std::mt19937_64 m_random;
    std::optional<std::uint64_t> m_seed;
    boost::asio::steady_timer m_filled;
    boost::asio::steady_timer m_drained;
};

} // namespace pistachiofall::standins
