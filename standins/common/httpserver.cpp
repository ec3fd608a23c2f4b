#include "common/httpserver.h"

#include "common/listener.h"

#include <cstdio>
#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

asio::awaitable<void> serveConnection(tcp::socket socket, std::shared_ptr<HttpHandler> handler)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    HttpExchange exchange(socket);
    while (co_await exchange.read()) {
        co_await (*handler)(exchange);
        if (!exchange.isKeepAlive())
            break;
    }
    socket.shutdown(tcp::socket::shutdown_both, ignored);
}

asio::awaitable<void> acceptConnections(std::shared_ptr<tcp::acceptor> acceptor,
                                        std::shared_ptr<HttpHandler> handler)
{
    while (auto socket = co_await acceptConnection(acceptor)) {
        const auto strand = socket->get_executor();
        asio::co_spawn(strand, serveConnection(std::move(*socket), handler), asio::detached);
    }
}

} // namespace

Result<std::uint16_t> startHttpServer(const asio::any_io_executor &executor,
                                      const std::string &address, HttpHandler handler)
{
    const auto listener = openListener(executor, address);
    if (!isOk(listener))
        return errorOf(listener);
    const auto &acceptor = valueOf(listener);
    const std::uint16_t port = acceptor->local_endpoint().port();
    auto shared = std::make_shared<HttpHandler>(std::move(handler));
    asio::co_spawn(executor, acceptConnections(acceptor, shared), asio::detached);
    return port;
}

void announcePort(std::uint16_t port)
{
    std::printf("listening %u\n", static_cast<unsigned>(port));
    std::fflush(stdout);
}

} // namespace pistachiofall::standins
