#pragma once

#include "common/proxyconnection.h"
#include "common/proxyfault.h"
#include "common/routestate.h"

#include "base/result.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace pistachiofall::standins {

/// One listener of the proxy and the connections that came through it. Runs as long as the
/// executor. Safe to use from several threads.
class ProxyRoute : public std::enable_shared_from_this<ProxyRoute>
{
public:
    /// Listens on IP:PORT (port 0 picks a free one) for connections to the target IP:PORT.
    static Result<std::shared_ptr<ProxyRoute>> start(const boost::asio::any_io_executor &executor,
                                                     const std::string &listenAddress,
                                                     const std::string &targetAddress);

    std::uint16_t port() const;

    /// Applies to the connections that are open now and to new ones.
    void setFault(const ProxyFault &fault);

    /// The mode and the counts as a JSON object.
    std::string describe() const;

private:
    ProxyRoute(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
               boost::asio::ip::tcp::endpoint target);

    static boost::asio::awaitable<void> accept(std::shared_ptr<ProxyRoute> self);
    void serve(boost::asio::ip::tcp::socket client);
    void track(const std::shared_ptr<ProxyConnection> &connection);

    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    const boost::asio::ip::tcp::endpoint m_target;
    const std::shared_ptr<RouteState> m_state = std::make_shared<RouteState>();
    // Guards the list, and keeps a fault from passing by a connection that is just accepted.
    std::mutex m_mutex;
    std::vector<std::weak_ptr<ProxyConnection>> m_connections;
};

} // namespace pistachiofall::standins
