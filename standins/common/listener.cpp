#include "common/listener.h"

#include "base/socketaddress.h"

#include <chrono>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds AcceptRetryDelay{20};

} // namespace

Result<std::shared_ptr<tcp::acceptor>> openListener(const boost::asio::any_io_executor &executor,
                                                    const std::string &address)
{
    const auto parsed = SocketAddress::parse(address);
    if (!isOk(parsed))
        return errorOf(parsed);
    const tcp::endpoint endpoint(boost::asio::ip::make_address(valueOf(parsed).host()),
                                 valueOf(parsed).port());
    auto acceptor = std::make_shared<tcp::acceptor>(executor);
    boost::system::error_code error;
    acceptor->open(endpoint.protocol(), error);
    if (!error)
        acceptor->set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor->bind(endpoint, error);
    if (!error)
        acceptor->listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return Error{ErrorCode::Unavailable,
                     "cannot listen on '" + address + "': " + error.message()};
    return acceptor;
}

asio::awaitable<std::optional<tcp::socket>>
acceptConnection(std::shared_ptr<tcp::acceptor> acceptor)
{
    asio::steady_timer timer(acceptor->get_executor());
    for (;;) {
        boost::system::error_code error;
        const auto strand = asio::make_strand(acceptor->get_executor());
        tcp::socket socket = co_await acceptor->async_accept(
                strand, asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            co_return std::move(socket);
        if (error == asio::error::operation_aborted)
            co_return std::nullopt;
        timer.expires_after(AcceptRetryDelay);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace pistachiofall::standins
