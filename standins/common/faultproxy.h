#pragma once

#include "common/apianswer.h"
#include "common/httpexchange.h"
#include "common/proxyroute.h"

#include "base/result.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace pistachiofall::standins {

/// A TCP proxy that injects faults, with a control API:
///
/// - POST /control/NAME?mode=MODE sets the fault of a route. A fault replaces the one before it:
///   - pass: new connections work, and open ones that are not silent go on;
///   - refuse: new connections are reset; open ones work;
///   - cut: open connections are reset, and new ones as well;
///   - freeze: the connections that are open now go silent without being closed, and stay so in
///     every later mode; new ones work;
///   - freeze-all: as freeze, and new connections are accepted and silent as well;
///   - half-open: of each open connection the proxy resets the end to the target and keeps the end
///     to the client open and silent (direction=to-client: the other way around); new ones work;
///   - delay: what comes while the mode is set goes on after delay-ms and a random time up to
///     jitter-ms. Each connection keeps its order and has its own random numbers, from seed and the
///     number of the connection, so answers on different connections overtake each other.
/// - direction=both|to-target|to-client limits freeze, freeze-all and delay to one direction. New
///   connections under freeze-all are silent in both.
/// - GET /control/NAME: the mode and the counts of connections (accepted, refused, open) and of
///   bytes (bytes_to_target, bytes_to_client, bytes_discarded) as a JSON object.
///
/// A silent connection discards what it receives and does not pass on that an end was closed.
/// Unknown parameters and values get 400, unknown routes 404.
class FaultProxy
{
public:
    explicit FaultProxy(boost::asio::any_io_executor executor);

    /// Adds a route from a listener on IP:PORT (port 0 picks a free one) to the target IP:PORT and
    /// returns its port. All routes are added before startControl(). The route runs as long as the
    /// executor.
    Result<std::uint16_t> addRoute(const std::string &name, const std::string &listenAddress,
                                   const std::string &targetAddress);

    /// Starts the control API on IP:PORT and returns its port.
    Result<std::uint16_t> startControl(const std::string &address);

    /// What the control API does for POST. NotFound when there is no such route.
    Result<Done> setFault(const std::string &name, const ProxyFault &fault);

private:
    using Routes = std::map<std::string, std::shared_ptr<ProxyRoute>>;

    static ApiAnswer control(const Routes &routes, const HttpExchange &exchange);

    boost::asio::any_io_executor m_executor;
    Routes m_routes;
};

} // namespace pistachiofall::standins
