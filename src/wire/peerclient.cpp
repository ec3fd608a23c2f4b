#include "wire/peerclient.h"

#include "wire/clientconnection.h"
#include "wire/wiremetrics.h"

#include <map>
#include <mutex>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using detail::ClientConnection;
using std::chrono::steady_clock;

namespace {

// A connection may close between the lookup and the call; the next one is new.
constexpr int MaxLookups = 3;

// Members change addresses over the life of a process; refusals of old ones are forgotten.
constexpr std::chrono::minutes RefusalKept{10};

} // namespace

struct PeerClient::Data : std::enable_shared_from_this<PeerClient::Data>
{
    Data(const asio::any_io_executor &anExecutor, MetricsRegistry &registry,
         const PeerClientSettings &someSettings)
        : executor(anExecutor)
        , settings(someSettings)
        , metrics(std::make_shared<detail::WireMetrics>(registry))
    { }

    std::shared_ptr<ClientConnection> connectionTo(const SocketAddress &address);
    void onEvent(ClientConnection::Event event, const ClientConnection &connection);

    static asio::awaitable<Result<wire::BodyUnion>> call(std::shared_ptr<Data> self,
                                                         SocketAddress address,
                                                         wire::BodyUnion request,
                                                         std::chrono::milliseconds timeout);

    asio::any_io_executor executor;
    PeerClientSettings settings;
    std::shared_ptr<detail::WireMetrics> metrics;

    std::mutex mutex;
    std::map<SocketAddress, std::shared_ptr<ClientConnection>> connections;
    std::map<SocketAddress, steady_clock::time_point> refusals;
};

std::shared_ptr<ClientConnection> PeerClient::Data::connectionTo(const SocketAddress &address)
{
    const std::scoped_lock lock(mutex);
    auto &connection = connections[address];
    if (!connection) {
        auto handler = [weak = weak_from_this()](ClientConnection::Event event,
                                                 const ClientConnection &source) {
            if (const auto self = weak.lock())
                self->onEvent(event, source);
        };
        connection = std::make_shared<ClientConnection>(executor, address, settings, metrics,
                                                        std::move(handler));
        asio::co_spawn(connection->strand(), ClientConnection::run(connection), asio::detached);
    }
    return connection;
}

void PeerClient::Data::onEvent(ClientConnection::Event event, const ClientConnection &connection)
{
    const std::scoped_lock lock(mutex);
    const auto now = steady_clock::now();
    switch (event) {
    case ClientConnection::Event::Connected:
    case ClientConnection::Event::ConnectFailed:
        refusals.erase(connection.address());
        break;
    case ClientConnection::Event::Refused:
        std::erase_if(refusals,
                      [&](const auto &entry) { return now - entry.second > RefusalKept; });
        refusals[connection.address()] = now;
        break;
    case ClientConnection::Event::Closed: {
        const auto found = connections.find(connection.address());
        if (found != connections.end() && found->second.get() == &connection)
            connections.erase(found);
        break;
    }
    }
}

asio::awaitable<Result<wire::BodyUnion>> PeerClient::Data::call(std::shared_ptr<Data> self,
                                                                SocketAddress address,
                                                                wire::BodyUnion request,
                                                                std::chrono::milliseconds timeout)
{
    const auto deadline = steady_clock::now() + timeout;
    const auto shared = std::make_shared<const wire::BodyUnion>(std::move(request));
    for (int lookup = 0; lookup < MaxLookups; ++lookup) {
        const auto connection = self->connectionTo(address);
        auto reply = co_await asio::co_spawn(connection->strand(),
                                             ClientConnection::call(connection, shared, deadline),
                                             asio::use_awaitable);
        if (reply)
            co_return *std::move(reply);
    }
    co_return Error{ErrorCode::Unavailable,
                    "connections to " + address.toString() + " close at once"};
}

PeerClient::PeerClient(const asio::any_io_executor &executor, MetricsRegistry &metrics,
                       const PeerClientSettings &settings)
    : m_data(std::make_shared<Data>(executor, metrics, settings))
{ }

PeerClient::~PeerClient()
{
    const std::scoped_lock lock(m_data->mutex);
    for (const auto &[address, connection] : m_data->connections) {
        asio::post(connection->strand(),
                   [connection = connection] { connection->close("the client was closed"); });
    }
}

asio::awaitable<Result<wire::BodyUnion>>
PeerClient::call(SocketAddress address, wire::BodyUnion request, std::chrono::milliseconds timeout)
{
    return Data::call(m_data, std::move(address), std::move(request), timeout);
}

std::optional<steady_clock::time_point> PeerClient::refusedAt(const SocketAddress &address) const
{
    const std::scoped_lock lock(m_data->mutex);
    const auto found = m_data->refusals.find(address);
    if (found == m_data->refusals.end())
        return std::nullopt;
    return found->second;
}

} // namespace pistachiofall
