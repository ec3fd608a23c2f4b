#pragma once

#include "metrics/metricsregistry.h"
#include "wire/framefault.h"
#include "wire/messages.h"

#include <array>
#include <cstddef>

namespace pistachiofall::detail {

/// The counters that the peer server and the peer client share. An instance's control traffic is
/// the sum over both.
class WireMetrics
{
public:
    explicit WireMetrics(MetricsRegistry &registry);

    void addSent(wire::Body type, std::size_t bytes);
    void addReceived(wire::Body type, std::size_t bytes);
    void addFault(FrameFault fault);

    /// Requests whose deadline passed before they were run or answered.
    Counter &expired;
    /// Requests refused because too many of one connection were in progress.
    Counter &overloaded;
    /// Requests of a type that this version or its handler does not know.
    Counter &unhandled;
    /// Handlers that ended with an exception.
    Counter &handlerFailed;
    /// Peers that did not take what was sent to them, or stopped within a frame.
    Counter &stalled;
    /// Replies that came after their call had ended.
    Counter &lateReplies;
    Counter &connectFailed;
    Counter &connectRefused;
    Counter &callTimedOut;
    /// Connections closed because a probe was not answered.
    Counter &silent;
    /// Connections that broke with calls waiting.
    Counter &broken;
    Gauge &serverConnections;
    Gauge &clientConnections;

private:
    struct Traffic
    {
        Counter *frames = nullptr;
        Counter *bytes = nullptr;
    };
    static constexpr std::size_t TypeCount = static_cast<std::size_t>(wire::Body::MAX) + 1;
    using TrafficByType = std::array<Traffic, TypeCount>;

    static TrafficByType makeTraffic(MetricsRegistry &registry, const char *direction);
    static void count(const TrafficByType &traffic, wire::Body type, std::size_t bytes);

    TrafficByType m_sent;
    TrafficByType m_received;
    Counter &m_oversized;
    Counter &m_malformed;
    Counter &m_wrongVersion;
};

} // namespace pistachiofall::detail
