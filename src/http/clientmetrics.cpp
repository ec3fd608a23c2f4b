#include "http/clientmetrics.h"

namespace pistachiofall::detail {

ClientMetrics::ClientMetrics(MetricsRegistry &registry)
    : calls(registry.counter("endpoint_calls_total"))
    , connectionsOpened(registry.counter("endpoint_connections_opened_total"))
    , connectionsReused(registry.counter("endpoint_connections_reused_total"))
    , connectFailures(registry.counter("endpoint_connect_failures_total"))
    , staleConnections(registry.counter("endpoint_connections_stale_total"))
    , firstByteTimeouts(registry.counter("endpoint_timeouts_total", {{"stage", "first_byte"}}))
    , gapTimeouts(registry.counter("endpoint_timeouts_total", {{"stage", "gap"}}))
    , brokenAnswers(registry.counter("endpoint_answers_broken_total"))
    , cancelled(registry.counter("endpoint_calls_cancelled_total"))
    , idleConnections(registry.gauge("endpoint_connections_idle"))
{ }

} // namespace pistachiofall::detail
