#pragma once

#include "batch/itemoutcome.h"
#include "batch/segmentrun.h"
#include "metrics/metricsregistry.h"

namespace pistachiofall::batch::detail {

/// The metrics of a coordinator.
class BatchMetrics
{
public:
    explicit BatchMetrics(MetricsRegistry &registry);

    void countOutcome(const ItemOutcome &outcome);
    void countSegmentEnd(SegmentRun::End end);

    Gauge &inFlight;
    Gauge &segments;
    Counter &jobsEnded;
    /// Segments whose items or progress could not be read.
    Counter &unreadable;

private:
    MetricsRegistry &m_registry;
};

} // namespace pistachiofall::batch::detail
