#pragma once

#include "common/httpexchange.h"

#include "base/result.h"

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace pistachiofall::standins {

/// Answers one request. The exchange lives until the returned coroutine ends.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

/// Listens on HOST:PORT (port 0 picks a free one) and runs the handler for each request, with one
/// coroutine a connection. Returns the port. The server runs as long as the executor.
Result<std::uint16_t> startHttpServer(const boost::asio::any_io_executor &executor,
                                      const std::string &address, HttpHandler handler);

/// Prints "listening PORT" on standard output, which is how tests and scripts learn the port.
void announcePort(std::uint16_t port);

} // namespace pistachiofall::standins
