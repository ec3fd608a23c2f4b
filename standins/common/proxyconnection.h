#pragma once

#include "common/proxychannel.h"
#include "common/proxyfault.h"
#include "common/routestate.h"

#include <cstdint>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace pistachiofall::standins {

/// One connection through the proxy: a socket to the client and one to the target, both on the
/// client socket's strand. It lives as long as one of its directions.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
    /// The number of the connection on its route, which seeds its jitter.
    ProxyConnection(boost::asio::ip::tcp::socket client, std::shared_ptr<RouteState> state,
                    std::uint64_t number);
    ~ProxyConnection();
    ProxyConnection(const ProxyConnection &) = delete;
    ProxyConnection &operator=(const ProxyConnection &) = delete;

    /// Connects to the target and forwards. Resets the client when the target can not be reached.
    void start(const boost::asio::ip::tcp::endpoint &target);

    /// Keeps the client's connection open and silent, without a connection to the target.
    void startSilent();

    /// Applies a fault that the control API has set to this open connection. Any thread.
    void apply(const ProxyFault &fault);

private:
    using Connection = std::shared_ptr<ProxyConnection>;

    // Coroutines take the connection as an argument, which keeps it alive.
    static boost::asio::awaitable<void> run(Connection self, boost::asio::ip::tcp::endpoint target);
    static boost::asio::awaitable<void> read(Connection self, bool isToTarget);
    static boost::asio::awaitable<void> write(Connection self, bool isToTarget);

    ProxyChannel &channel(bool isToTarget) { return isToTarget ? m_toTarget : m_toClient; }
    void spawnChannel(bool isToTarget);
    void setSilent(bool toTarget, bool toClient);
    void reset();

    boost::asio::ip::tcp::socket m_client;
    boost::asio::ip::tcp::socket m_target;
    std::shared_ptr<RouteState> m_state;
    ProxyChannel m_toTarget;
    ProxyChannel m_toClient;
};

} // namespace pistachiofall::standins
