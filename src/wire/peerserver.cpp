#include "wire/peerserver.h"

#include "wire/serverconnection.h"
#include "wire/wiremetrics.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using asio::ip::tcp;
using detail::ServerConnection;

namespace {

// An accept fails when the process has no descriptors left, and would fail again at once.
constexpr std::chrono::milliseconds AcceptRetryDelay{100};

} // namespace

struct PeerServer::Data
{
    Data(const asio::any_io_executor &anExecutor, MetricsRegistry &registry, PeerHandler aHandler)
        : executor(anExecutor)
        , acceptor(asio::make_strand(anExecutor))
        , metrics(std::make_shared<detail::WireMetrics>(registry))
        , handler(std::make_shared<const PeerHandler>(std::move(aHandler)))
    { }

    static asio::awaitable<void> acceptConnections(std::shared_ptr<Data> self);
    void add(const std::shared_ptr<ServerConnection> &connection);

    asio::any_io_executor executor;
    tcp::acceptor acceptor;
    std::shared_ptr<detail::WireMetrics> metrics;
    std::shared_ptr<const PeerHandler> handler;
    std::uint16_t port = 0;

    std::mutex mutex;
    std::vector<std::weak_ptr<ServerConnection>> connections;
    bool isStopped = false;
};

asio::awaitable<void> PeerServer::Data::acceptConnections(std::shared_ptr<Data> self)
{
    asio::steady_timer delay(self->acceptor.get_executor());
    while (self->acceptor.is_open()) {
        boost::system::error_code error;
        const auto strand = asio::make_strand(self->executor);
        tcp::socket socket = co_await self->acceptor.async_accept(
                strand, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            socket.set_option(tcp::no_delay(true), error);
            self->add(std::make_shared<ServerConnection>(self->executor, std::move(socket),
                                                         self->handler, self->metrics));
        } else if (error != asio::error::operation_aborted) {
            delay.expires_after(AcceptRetryDelay);
            co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }
}

void PeerServer::Data::add(const std::shared_ptr<ServerConnection> &connection)
{
    const std::scoped_lock lock(mutex);
    if (isStopped)
        return;
    std::erase_if(connections, [](const auto &entry) { return entry.expired(); });
    connections.push_back(connection);
    connection->start();
}

PeerServer::PeerServer(std::shared_ptr<Data> data)
    : m_data(std::move(data))
{ }

PeerServer::~PeerServer()
{
    stop();
}

Result<std::unique_ptr<PeerServer>> PeerServer::create(const asio::any_io_executor &executor,
                                                       const SocketAddress &address,
                                                       MetricsRegistry &metrics,
                                                       PeerHandler handler)
{
    auto data = std::make_shared<Data>(executor, metrics, std::move(handler));
    const tcp::endpoint endpoint(asio::ip::make_address(address.host()), address.port());
    tcp::acceptor &acceptor = data->acceptor;
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (!error)
        data->port = acceptor.local_endpoint(error).port();
    if (error) {
        return Error{ErrorCode::Unavailable,
                     "cannot listen on '" + address.toString() + "': " + error.message()};
    }
    asio::co_spawn(acceptor.get_executor(), Data::acceptConnections(data), asio::detached);
    return std::unique_ptr<PeerServer>(new PeerServer(std::move(data)));
}

std::uint16_t PeerServer::port() const
{
    return m_data->port;
}

void PeerServer::stop()
{
    asio::post(m_data->acceptor.get_executor(), [data = m_data] {
        boost::system::error_code ignored;
        data->acceptor.close(ignored);
    });
    const std::scoped_lock lock(m_data->mutex);
    m_data->isStopped = true;
    for (const auto &entry : m_data->connections) {
        if (const auto connection = entry.lock())
            connection->requestClose();
    }
    m_data->connections.clear();
}

} // namespace pistachiofall
