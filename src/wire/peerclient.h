#pragma once

#include "base/result.h"
#include "base/socketaddress.h"
#include "metrics/metricsregistry.h"
#include "wire/messages.h"
#include "wire/peerclientsettings.h"

#include <chrono>
#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Sends requests to other instances. One connection to each peer is opened on demand and shared by
/// all calls. Safe to use from several threads. The registry must outlive the work of the executor.
class PeerClient
{
public:
    explicit PeerClient(const boost::asio::any_io_executor &executor, MetricsRegistry &metrics,
                        const PeerClientSettings &settings = {});
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Sends the request and waits for its reply. Errors: Unavailable when the peer certainly did
    /// not run it (no connection, or the peer refused it), TimedOut when no reply came in time,
    /// OutcomeUnknown when the connection broke or went silent after the request was sent,
    /// InvalidArgument when the request does not fit a frame.
    boost::asio::awaitable<Result<wire::BodyUnion>>
    call(SocketAddress address, wire::BodyUnion request, std::chrono::milliseconds timeout);

    /// When the last attempt to connect to the address was refused, which proves that no process
    /// listened there at that time. Empty when the last attempt succeeded or ended in another way,
    /// such as a timeout.
    std::optional<std::chrono::steady_clock::time_point>
    refusedAt(const SocketAddress &address) const;

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

} // namespace pistachiofall
