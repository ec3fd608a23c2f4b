#include "http/listenermetrics.h"

namespace pistachiofall::detail {

namespace {

Counter &timeouts(MetricsRegistry &registry, const std::string &listener, const char *stage)
{
    return registry.counter("http_timeouts_total", {{"listener", listener}, {"stage", stage}});
}

} // namespace

ListenerMetrics::ListenerMetrics(MetricsRegistry &registry, const std::string &listener)
    : connectionsAccepted(
            registry.counter("http_connections_accepted_total", {{"listener", listener}}))
    , connectionsRefused(
              registry.counter("http_connections_refused_total", {{"listener", listener}}))
    , connectionsOpen(registry.gauge("http_connections_open", {{"listener", listener}}))
    , requests(registry.counter("http_requests_total", {{"listener", listener}}))
    , requestsInFlight(registry.gauge("http_requests_in_flight", {{"listener", listener}}))
    , requestsMalformed(registry.counter("http_requests_malformed_total", {{"listener", listener}}))
    , answersAborted(registry.counter("http_answers_aborted_total", {{"listener", listener}}))
    , callersGone(registry.counter("http_callers_gone_total", {{"listener", listener}}))
    , idleTimeouts(timeouts(registry, listener, "idle"))
    , headerTimeouts(timeouts(registry, listener, "header"))
    , bodyTimeouts(timeouts(registry, listener, "body"))
    , writeTimeouts(timeouts(registry, listener, "write"))
{ }

} // namespace pistachiofall::detail
