#pragma once

#include "metrics/metricsregistry.h"

#include <string>

namespace pistachiofall::detail {

/// The metrics of one listener.
struct ListenerMetrics
{
    ListenerMetrics(MetricsRegistry &registry, const std::string &listener);

    Counter &connectionsAccepted;
    Counter &connectionsRefused;
    Gauge &connectionsOpen;
    Counter &requests;
    Gauge &requestsInFlight;
    Counter &requestsMalformed;
    Counter &answersAborted;
    Counter &callersGone;
    Counter &idleTimeouts;
    Counter &headerTimeouts;
    Counter &bodyTimeouts;
    Counter &writeTimeouts;
};

} // namespace pistachiofall::detail
