#include "common/proxyconnection.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Closes with a reset instead of an orderly end.
void resetSocket(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

ProxyConnection::ProxyConnection(tcp::socket client, std::shared_ptr<RouteState> state,
                                 std::uint64_t number)
    : m_client(std::move(client))
    , m_target(m_client.get_executor())
    , m_state(std::move(state))
    , m_toTarget(m_client, m_target, *m_state, true, number)
    , m_toClient(m_target, m_client, *m_state, false, number)
{
    m_state->open.add(1);
}

ProxyConnection::~ProxyConnection()
{
    m_state->open.add(-1);
}

void ProxyConnection::start(const tcp::endpoint &target)
{
    asio::co_spawn(m_client.get_executor(), run(shared_from_this(), target), asio::detached);
}

void ProxyConnection::startSilent()
{
    setSilent(true, true);
    spawnChannel(true);
}

asio::awaitable<void> ProxyConnection::run(Connection self, tcp::endpoint target)
{
    boost::system::error_code error;
    co_await self->m_target.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    if (error && self->m_toTarget.isSilent()) {
        self->spawnChannel(true);
        co_return;
    }
    if (error) {
        self->reset();
        co_return;
    }
    self->m_client.set_option(tcp::no_delay(true), error);
    self->m_target.set_option(tcp::no_delay(true), error);
    self->spawnChannel(true);
    self->spawnChannel(false);
}

void ProxyConnection::spawnChannel(bool isToTarget)
{
    const auto executor = m_client.get_executor();
    asio::co_spawn(executor, read(shared_from_this(), isToTarget), asio::detached);
    asio::co_spawn(executor, write(shared_from_this(), isToTarget), asio::detached);
}

asio::awaitable<void> ProxyConnection::read(Connection self, bool isToTarget)
{
    co_await self->channel(isToTarget).read();
}

asio::awaitable<void> ProxyConnection::write(Connection self, bool isToTarget)
{
    const ProxyChannel::End end = co_await self->channel(isToTarget).write();
    tcp::socket &receiver = isToTarget ? self->m_target : self->m_client;
    boost::system::error_code ignored;
    if (end == ProxyChannel::End::Closed)
        receiver.shutdown(tcp::socket::shutdown_send, ignored);
    else if (end == ProxyChannel::End::Reset)
        self->reset();
}

void ProxyConnection::setSilent(bool toTarget, bool toClient)
{
    if (toTarget)
        m_toTarget.setSilent();
    if (toClient)
        m_toClient.setSilent();
}

void ProxyConnection::apply(const ProxyFault &fault)
{
    const bool isHalfOpen = fault.mode == ProxyFault::Mode::HalfOpen;
    const bool isCut = fault.mode == ProxyFault::Mode::Cut;
    if (fault.mode == ProxyFault::Mode::Freeze || fault.mode == ProxyFault::Mode::FreezeAll)
        setSilent(fault.affectsToTarget, fault.affectsToClient);
    // Silent at once, so that nothing passes between the answer of the control API and the reset.
    if (isHalfOpen || isCut)
        setSilent(true, true);
    auto self = shared_from_this();
    if (isCut)
        asio::post(m_client.get_executor(), [self] { self->reset(); });
    else if (isHalfOpen && fault.affectsToTarget)
        asio::post(m_client.get_executor(), [self] { resetSocket(self->m_target); });
    else if (isHalfOpen)
        asio::post(m_client.get_executor(), [self] { resetSocket(self->m_client); });
}

void ProxyConnection::reset()
{
    m_toTarget.abort();
    m_toClient.abort();
    resetSocket(m_client);
    resetSocket(m_target);
}

} // namespace pistachiofall::standins
