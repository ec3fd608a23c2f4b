#pragma once

#include "base/clock.h"
#include "store/storeconnection.h"

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace pistachiofall::store::detail {

/// The idle connections to the store. Safe to use from several threads.
class ConnectionPool
{
public:
    ConnectionPool(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint endpoint,
                   const Clock &clock);

    /// The idle connection that was used last and that the store has not closed, or a new one that
    /// is not open.
    std::unique_ptr<StoreConnection> take();

    /// Keeps a connection whose last answer is complete.
    void put(std::unique_ptr<StoreConnection> connection);

    /// Closes the idle connections. After a failure the others may be broken or silent as well, and
    /// each would cost a call its whole timeout.
    void clear();

    std::size_t idleCount() const;
    const boost::asio::ip::tcp::endpoint &endpoint() const { return m_endpoint; }
    /// The value of the Host header.
    const std::string &host() const { return m_host; }

private:
    std::unique_ptr<StoreConnection> takeIdle();

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::string m_host;
    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::vector<std::unique_ptr<StoreConnection>> m_idle;
};

} // namespace pistachiofall::store::detail
