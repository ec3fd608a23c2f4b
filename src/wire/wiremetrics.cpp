#include "wire/wiremetrics.h"

#include "wire/body.h"

#include <string>

namespace pistachiofall::detail {

namespace {

Counter &errorCounter(MetricsRegistry &registry, std::string_view kind)
{
    return registry.counter("peer_errors_total", {{"kind", std::string(kind)}});
}

Counter &faultCounter(MetricsRegistry &registry, FrameFault fault)
{
    return errorCounter(registry, toString(fault));
}

} // namespace

WireMetrics::WireMetrics(MetricsRegistry &registry)
    : expired(errorCounter(registry, "expired"))
    , overloaded(errorCounter(registry, "overloaded"))
    , unhandled(errorCounter(registry, "unhandled"))
    , handlerFailed(errorCounter(registry, "handler_failed"))
    , stalled(errorCounter(registry, "stalled"))
    , lateReplies(errorCounter(registry, "late_reply"))
    , connectFailed(errorCounter(registry, "connect_failed"))
    , connectRefused(errorCounter(registry, "connect_refused"))
    , callTimedOut(errorCounter(registry, "call_timed_out"))
    , silent(errorCounter(registry, "silent"))
    , broken(errorCounter(registry, "broken"))
    , serverConnections(registry.gauge("peer_connections", {{"side", "server"}}))
    , clientConnections(registry.gauge("peer_connections", {{"side", "client"}}))
    , m_sent(makeTraffic(registry, "sent"))
    , m_received(makeTraffic(registry, "received"))
    , m_oversized(faultCounter(registry, FrameFault::Oversized))
    , m_malformed(faultCounter(registry, FrameFault::Malformed))
    , m_wrongVersion(faultCounter(registry, FrameFault::WrongVersion))
{ }

void WireMetrics::addSent(wire::Body type, std::size_t bytes)
{
    count(m_sent, type, bytes);
}

void WireMetrics::addReceived(wire::Body type, std::size_t bytes)
{
    count(m_received, type, bytes);
}

void WireMetrics::addFault(FrameFault fault)
{
    switch (fault) {
    case FrameFault::Oversized:
        m_oversized.add();
        break;
    case FrameFault::Malformed:
        m_malformed.add();
        break;
    case FrameFault::WrongVersion:
        m_wrongVersion.add();
        break;
    }
}

WireMetrics::TrafficByType WireMetrics::makeTraffic(MetricsRegistry &registry,
                                                    const char *direction)
{
    const std::string frames = std::string("peer_frames_") + direction + "_total";
    const std::string bytes = std::string("peer_bytes_") + direction + "_total";
    TrafficByType traffic;
    for (std::size_t type = 0; type < TypeCount; ++type) {
        const Labels labels{{"message", messageName(static_cast<wire::Body>(type))}};
        traffic[type] = {&registry.counter(frames, labels), &registry.counter(bytes, labels)};
    }
    return traffic;
}

void WireMetrics::count(const TrafficByType &traffic, wire::Body type, std::size_t bytes)
{
    const auto index = static_cast<std::size_t>(type);
    const Traffic &counters = traffic[index < TypeCount ? index : 0];
    counters.frames->add();
    counters.bytes->add(bytes);
}

} // namespace pistachiofall::detail
