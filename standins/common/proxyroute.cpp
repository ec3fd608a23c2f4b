#include "common/proxyroute.h"

#include "common/listener.h"

#include "base/socketaddress.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

void refuse(tcp::socket &client)
{
    boost::system::error_code ignored;
    client.set_option(asio::socket_base::linger(true, 0), ignored);
    client.close(ignored);
}

} // namespace

Result<std::shared_ptr<ProxyRoute>> ProxyRoute::start(const asio::any_io_executor &executor,
                                                      const std::string &listenAddress,
                                                      const std::string &targetAddress)
{
    const auto target = SocketAddress::parse(targetAddress);
    if (!isOk(target))
        return errorOf(target);
    const auto listener = openListener(executor, listenAddress);
    if (!isOk(listener))
        return errorOf(listener);
    const tcp::endpoint endpoint(asio::ip::make_address(valueOf(target).host()),
                                 valueOf(target).port());
    std::shared_ptr<ProxyRoute> route(new ProxyRoute(valueOf(listener), endpoint));
    asio::co_spawn(executor, accept(route), asio::detached);
    return route;
}

ProxyRoute::ProxyRoute(std::shared_ptr<tcp::acceptor> acceptor, tcp::endpoint target)
    : m_acceptor(std::move(acceptor))
    , m_target(std::move(target))
{ }

std::uint16_t ProxyRoute::port() const
{
    return m_acceptor->local_endpoint().port();
}

asio::awaitable<void> ProxyRoute::accept(std::shared_ptr<ProxyRoute> self)
{
    while (auto client = co_await acceptConnection(self->m_acceptor))
        self->serve(std::move(*client));
}

void ProxyRoute::serve(tcp::socket client)
{
    const std::scoped_lock lock(m_mutex);
    m_state->accepted.add();
    const ProxyFault::Mode mode = m_state->fault().mode;
    if (mode == ProxyFault::Mode::Refuse || mode == ProxyFault::Mode::Cut) {
        m_state->refused.add();
        return refuse(client);
    }
    const auto connection = std::make_shared<ProxyConnection>(std::move(client), m_state,
                                                              m_state->accepted.value());
    track(connection);
    if (mode == ProxyFault::Mode::FreezeAll)
        connection->startSilent();
    else
        connection->start(m_target);
}

void ProxyRoute::track(const std::shared_ptr<ProxyConnection> &connection)
{
    std::erase_if(m_connections, [](const auto &tracked) { return tracked.expired(); });
    m_connections.push_back(connection);
}

void ProxyRoute::setFault(const ProxyFault &fault)
{
    const std::scoped_lock lock(m_mutex);
    m_state->setFault(fault);
    for (const auto &tracked : m_connections) {
        if (const auto connection = tracked.lock())
            connection->apply(fault);
    }
}

std::string ProxyRoute::describe() const
{
    boost::json::object counts;
    counts["mode"] = toString(m_state->fault().mode);
    counts["accepted"] = m_state->accepted.value();
    counts["refused"] = m_state->refused.value();
    counts["open"] = m_state->open.value();
    counts["bytes_to_target"] = m_state->bytesToTarget.value();
    counts["bytes_to_client"] = m_state->bytesToClient.value();
    counts["bytes_discarded"] = m_state->bytesDiscarded.value();
    return boost::json::serialize(counts);
}

} // namespace pistachiofall::standins
