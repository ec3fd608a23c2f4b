#pragma once

#include "base/result.h"
#include "base/socketaddress.h"
#include "metrics/metricsregistry.h"
#include "wire/peerhandler.h"

#include <cstdint>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

namespace pistachiofall {

/// Answers the requests of other instances. The requests of one connection run side by side, and
/// each reply is sent as soon as it is there. A request whose deadline has passed is dropped. At
/// most 1,024 requests of one connection are in progress; more are refused as not run. The registry
/// must outlive the work of the executor.
class PeerServer
{
public:
    /// Listens on the address; port 0 picks a free one. Unavailable when the address is in use.
    static Result<std::unique_ptr<PeerServer>> create(const boost::asio::any_io_executor &executor,
                                                      const SocketAddress &address,
                                                      MetricsRegistry &metrics,
                                                      PeerHandler handler);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    std::uint16_t port() const;

    /// Closes the listener and all connections. Handlers that are running go on without a caller.
    void stop();

private:
    struct Data;
    explicit PeerServer(std::shared_ptr<Data> data);
    std::shared_ptr<Data> m_data;
};

} // namespace pistachiofall
