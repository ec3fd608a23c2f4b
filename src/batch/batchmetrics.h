#pragma once

#include "batch/itemoutcome.h"
#include "batch/segmentrun.h"
#include "metrics/metricsregistry.h"

namespace pistachiofall::batch::detail {

/// Metrics reported by a job coordinator.
class BatchMetrics
{
public:
    explicit BatchMetrics(MetricsRegistry &registry);

    void countOutcome(const ItemOutcome &outcome);
    void countSegmentEnd(SegmentRun::End end);

    Gauge &inFlight;
    Gauge &segments;
    Counter &jobsEnded;
    /// Segments whose items or progress, and jobs whose object, could not be read or decoded.
    Counter &unreadable;

private:
    MetricsRegistry &m_registry;
};

} // namespace pistachiofall::batch::detail
