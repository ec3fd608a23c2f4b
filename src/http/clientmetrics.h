#pragma once

#include "metrics/metricsregistry.h"

namespace pistachiofall::detail {

/// The metrics of the calls to endpoints.
struct ClientMetrics
{
    explicit ClientMetrics(MetricsRegistry &registry);

    Counter &calls;
    Counter &connectionsOpened;
    Counter &connectionsReused;
    Counter &connectFailures;
    Counter &staleConnections;
    Counter &firstByteTimeouts;
    Counter &gapTimeouts;
    Counter &brokenAnswers;
    Counter &cancelled;
    Gauge &idleConnections;
};

} // namespace pistachiofall::detail
