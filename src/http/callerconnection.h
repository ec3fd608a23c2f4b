#pragma once

#include "http/httplistener.h"
#include "http/httpstream.h"
#include "http/listenershared.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall::detail {

/// One connection of a caller.
struct CallerConnection
{
    static constexpr std::chrono::steady_clock::time_point Busy =
            std::chrono::steady_clock::time_point::max();

    std::shared_ptr<HttpStream> stream;
    std::string peerAddress;
    /// Since when it has had no request in flight.
    std::atomic<std::chrono::steady_clock::time_point> idleSince{std::chrono::steady_clock::now()};
};

/// Serves the requests of a connection, one after the other, until it ends.
boost::asio::awaitable<void> serveConnection(std::shared_ptr<ListenerShared> shared,
                                             std::shared_ptr<CallerConnection> connection,
                                             std::shared_ptr<RequestHandler> handler);

/// Answers 503 on a connection for which there is no room, and closes it.
boost::asio::awaitable<void> refuseConnection(std::shared_ptr<ListenerShared> shared,
                                              std::shared_ptr<HttpStream> stream);

} // namespace pistachiofall::detail
