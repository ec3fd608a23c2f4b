#pragma once

#include "wire/framestream.h"
#include "wire/peerhandler.h"
#include "wire/wiremetrics.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pistachiofall::detail {

/// The server's side of one connection. All functions run on the strand of the socket; the handler
/// runs on the executor.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(const boost::asio::any_io_executor &executor,
                     boost::asio::ip::tcp::socket socket,
                     std::shared_ptr<const PeerHandler> handler,
                     std::shared_ptr<WireMetrics> metrics);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /// Starts reading.
    void start();

    /// Closes the connection from any thread.
    void requestClose();

private:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Self = std::shared_ptr<ServerConnection>;

    static boost::asio::awaitable<void> run(Self self);
    static boost::asio::awaitable<void> watch(Self self);
    static boost::asio::awaitable<void> writeQueued(Self self);
    static boost::asio::awaitable<void> serve(Self self, wire::EnvelopeT request,
                                              TimePoint deadline);

    void receive(wire::EnvelopeT request);
    void finish(std::uint64_t correlationId, wire::BodyUnion body, TimePoint deadline);
    void reply(std::uint64_t correlationId, wire::BodyUnion body);
    bool isStalled(TimePoint now) const;
    void close();

    boost::asio::any_io_executor m_executor;
    boost::asio::any_io_executor m_strand;
    FrameStream m_stream;
    std::shared_ptr<const PeerHandler> m_handler;
    std::shared_ptr<WireMetrics> m_metrics;
    std::shared_ptr<std::atomic<bool>> m_isClosed;
    boost::asio::steady_timer m_watchTimer;
    // Waited on while reading pauses; cancelled when the output has drained.
    boost::asio::steady_timer m_drained;
    std::string m_output;
    std::size_t m_inProgress = 0;
};

} // namespace pistachiofall::detail
