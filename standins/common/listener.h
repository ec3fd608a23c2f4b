#pragma once

#include "base/result.h"

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace pistachiofall::standins {

/// Opens a listener on IP:PORT; port 0 picks a free one. Unavailable when the port is taken.
Result<std::shared_ptr<boost::asio::ip::tcp::acceptor>>
openListener(const boost::asio::any_io_executor &executor, const std::string &address);

/// The next connection, on a strand of its own; empty when the acceptor was closed. Other errors,
/// such as running out of file descriptors, would repeat at once, so it tries again after a pause.
boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>>
acceptConnection(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);

} // namespace pistachiofall::standins
