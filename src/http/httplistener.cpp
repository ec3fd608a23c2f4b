#include "http/httplistener.h"

#include "http/callerconnection.h"

#include <atomic>
#include <mutex>
#include <unordered_set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using detail::CallerConnection;
using detail::HttpStream;

namespace {

// Connections that are being answered 503 at once; further ones are reset.
constexpr std::size_t MaxRefusing = 128;
// After an error of accept(), such as running out of file descriptors, which would repeat at once.
constexpr std::chrono::milliseconds AcceptRetryDelay{20};
// How often waitStopped() looks. It runs once in the life of a process.
constexpr std::chrono::milliseconds StopPollInterval{5};

std::string addressOf(const tcp::socket &socket)
{
    error_code error;
    const tcp::endpoint peer = socket.remote_endpoint(error);
    return error ? std::string{} : peer.address().to_string() + ':' + std::to_string(peer.port());
}

Result<Done> openAcceptor(tcp::acceptor &acceptor, const SocketAddress &address)
{
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host(), error), address.port());
    if (!error)
        acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return Error{ErrorCode::Unavailable,
                     "cannot listen on '" + address.toString() + "': " + error.message()};
    return Done{};
}

} // namespace

struct HttpListener::Data : std::enable_shared_from_this<HttpListener::Data>
{
    Data(const asio::any_io_executor &ioExecutor, const ListenerSettings &settings,
         MetricsRegistry &metrics, RequestHandler requestHandler)
        : executor(ioExecutor)
        , strand(asio::make_strand(ioExecutor))
        , acceptor(strand)
        , shared(new detail::ListenerShared{
                  settings, detail::ListenerMetrics(metrics, settings.name), {}, {}})
        , handler(std::make_shared<RequestHandler>(std::move(requestHandler)))
    { }

    asio::awaitable<void> acceptConnections();
    void startConnection(tcp::socket socket);
    void refuse(std::shared_ptr<HttpStream> stream);
    void stopAccepting();
    void closeIdleSince(std::chrono::steady_clock::time_point time);
    void resetAll();

    asio::any_io_executor executor;
    asio::any_io_executor strand;
    tcp::acceptor acceptor;
    std::uint16_t port = 0;
    std::shared_ptr<detail::ListenerShared> shared;
    std::shared_ptr<RequestHandler> handler;
    std::atomic<bool> isAccepting{true};
    std::atomic<std::size_t> refusing{0};
    std::mutex mutex;
    std::unordered_set<std::shared_ptr<CallerConnection>> connections;
};

asio::awaitable<void> HttpListener::Data::acceptConnections()
{
    asio::steady_timer pause(strand);
    while (acceptor.is_open()) {
        error_code error;
        tcp::socket socket =
                co_await acceptor.async_accept(asio::any_io_executor(asio::make_strand(executor)),
                                               asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            startConnection(std::move(socket));
        } else if (error != asio::error::operation_aborted) {
            pause.expires_after(AcceptRetryDelay);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }
}

void HttpListener::Data::startConnection(tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<CallerConnection>();
    connection->peerAddress = addressOf(socket);
    const asio::any_io_executor connectionStrand = socket.get_executor();
    connection->stream = HttpStream::create(std::move(socket));
    shared->metrics.connectionsAccepted.add();
    bool hasRoom = false;
    {
        const std::scoped_lock lock(mutex);
        hasRoom = connections.size() < shared->settings.maxConnections;
        if (hasRoom)
            connections.insert(connection);
    }
    if (!hasRoom) {
        refuse(connection->stream);
        return;
    }
    shared->metrics.connectionsOpen.add(1);
    asio::co_spawn(connectionStrand, detail::serveConnection(shared, connection, handler),
                   [self = shared_from_this(), connection](const std::exception_ptr &) {
                       self->shared->metrics.connectionsOpen.add(-1);
                       connection->stream->close();
                       const std::scoped_lock lock(self->mutex);
                       self->connections.erase(connection);
                   });
}

void HttpListener::Data::refuse(std::shared_ptr<HttpStream> stream)
{
    shared->metrics.connectionsRefused.add();
    if (refusing >= MaxRefusing) {
        stream->reset();
        return;
    }
    ++refusing;
    asio::co_spawn(executor, detail::refuseConnection(shared, std::move(stream)),
                   [self = shared_from_this()](const std::exception_ptr &) { --self->refusing; });
}

// Runs on the strand. Connections that the system has accepted already are served, because closing
// the acceptor would reset them.
void HttpListener::Data::stopAccepting()
{
    error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket =
                acceptor.accept(asio::any_io_executor(asio::make_strand(executor)), error);
        if (!error)
            startConnection(std::move(socket));
    }
    acceptor.close(error);
    isAccepting = false;
}

// Connections that became idle later close by themselves.
void HttpListener::Data::closeIdleSince(std::chrono::steady_clock::time_point time)
{
    const std::scoped_lock lock(mutex);
    for (const auto &connection : connections) {
        const auto idleSince = connection->idleSince.load();
        if (idleSince != CallerConnection::Busy && idleSince <= time)
            connection->stream->close();
    }
}

void HttpListener::Data::resetAll()
{
    const std::scoped_lock lock(mutex);
    for (const auto &connection : connections)
        connection->stream->reset();
}

Result<std::shared_ptr<HttpListener>> HttpListener::create(const asio::any_io_executor &executor,
                                                           const SocketAddress &address,
                                                           const ListenerSettings &settings,
                                                           MetricsRegistry &metrics,
                                                           RequestHandler handler)
{
    auto data = std::make_shared<Data>(executor, settings, metrics, std::move(handler));
    const Result<Done> opened = openAcceptor(data->acceptor, address);
    if (!isOk(opened))
        return errorOf(opened);
    data->port = data->acceptor.local_endpoint().port();
    asio::co_spawn(data->strand, data->acceptConnections(), [data](const std::exception_ptr &) {});
    return std::shared_ptr<HttpListener>(new HttpListener(std::move(data)));
}

HttpListener::HttpListener(std::shared_ptr<Data> data)
    : m_data(std::move(data))
{ }

HttpListener::~HttpListener()
{
    asio::post(m_data->strand, [data = m_data] {
        error_code ignored;
        data->acceptor.close(ignored);
        data->resetAll();
    });
}

std::uint16_t HttpListener::port() const
{
    return m_data->port;
}

void HttpListener::closeAfterAnswers()
{
    m_data->shared->closesAfterAnswers = true;
}

void HttpListener::stop()
{
    closeAfterAnswers();
    m_data->shared->isStopping = true;
    asio::post(m_data->strand, [data = m_data] {
        data->stopAccepting();
        const auto stopped = std::chrono::steady_clock::now();
        auto grace = std::make_shared<asio::steady_timer>(data->strand,
                                                          data->shared->settings.stopIdleGrace);
        grace->async_wait([data, grace, stopped](error_code) { data->closeIdleSince(stopped); });
    });
}

asio::awaitable<bool> HttpListener::waitStopped(std::chrono::milliseconds timeout)
{
    const auto data = m_data;
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    asio::steady_timer timer(data->executor);
    for (;;) {
        {
            const std::scoped_lock lock(data->mutex);
            if (!data->isAccepting && data->connections.empty())
                co_return true;
        }
        if (std::chrono::steady_clock::now() >= deadline)
            co_return false;
        timer.expires_after(StopPollInterval);
        error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace pistachiofall
