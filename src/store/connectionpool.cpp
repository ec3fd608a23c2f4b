#include "store/connectionpool.h"

#include <sstream>
#include <utility>

namespace pistachiofall::store::detail {

namespace {

// An instance has a handful of calls at once; more idle connections would only occupy the store.
constexpr std::size_t MaxIdleConnections = 16;
// Load balancers and address translation forget idle connections after a minute or more without
// telling the ends.
constexpr std::chrono::seconds MaxIdleTime{30};

// Whether the other side has closed an idle connection, or sent what no call asked for.
bool isStale(StoreConnection &connection)
{
    auto &socket = connection.stream.socket();
    boost::system::error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    if (error)
        return true;
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return error != boost::asio::error::would_block && error != boost::asio::error::try_again;
}

std::string hostOf(const boost::asio::ip::tcp::endpoint &endpoint)
{
    std::ostringstream out;
    out << endpoint;
    return out.str();
}

} // namespace

ConnectionPool::ConnectionPool(boost::asio::any_io_executor executor,
                               boost::asio::ip::tcp::endpoint endpoint, const Clock &clock)
    : m_executor(std::move(executor))
    , m_endpoint(std::move(endpoint))
    , m_host(hostOf(m_endpoint))
    , m_clock(clock)
{ }

std::unique_ptr<StoreConnection> ConnectionPool::take()
{
    const auto oldest = m_clock.now() - MaxIdleTime;
    while (auto connection = takeIdle()) {
        if (connection->idleSince >= oldest && !isStale(*connection))
            return connection;
    }
    return std::make_unique<StoreConnection>(m_executor);
}

std::unique_ptr<StoreConnection> ConnectionPool::takeIdle()
{
    const std::scoped_lock lock(m_mutex);
    if (m_idle.empty())
        return nullptr;
    auto connection = std::move(m_idle.back());
    m_idle.pop_back();
    return connection;
}

void ConnectionPool::put(std::unique_ptr<StoreConnection> connection)
{
    connection->idleSince = m_clock.now();
    const std::scoped_lock lock(m_mutex);
    if (m_idle.size() < MaxIdleConnections)
        m_idle.push_back(std::move(connection));
}

void ConnectionPool::clear()
{
    std::vector<std::unique_ptr<StoreConnection>> closed;
    const std::scoped_lock lock(m_mutex);
    closed.swap(m_idle);
}

std::size_t ConnectionPool::idleCount() const
{
    const std::scoped_lock lock(m_mutex);
    return m_idle.size();
}

} // namespace pistachiofall::store::detail
