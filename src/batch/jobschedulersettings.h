#pragma once

#include "batch/segmentrunsettings.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace pistachiofall {

/// Limits and intervals of the job scheduler of an instance.
struct JobSchedulerSettings
{
    /// Identifies the instance and its incarnation; different for each start of a process.
    std::string owner;

    std::size_t maxInFlight = 64;

    /// Maximum number of segments claimed at a time. Each running segment costs one write per
    /// checkpoint.
    std::size_t maxSegments = 16;

    /// Nothing is started when the start of the last successful read of the jobs is older. A job
    /// that was cancelled before that read starts no item, so this bounds the time after a cancel.
    std::chrono::milliseconds readFreshness{3000};

    /// The counts of finished segments are stored in the job at most this often, and at its end.
    /// They save a coordinator that takes the job over from reading the progress of each segment.
    std::chrono::milliseconds jobWriteInterval{30'000};

    /// A segment without a new result for this long is released if an organisation without a
    /// segment is waiting for one. Otherwise jobs for models without endpoints would occupy all
    /// segments. Has to be longer than any item takes, because the running items of the segment are
    /// cancelled.
    std::chrono::milliseconds stallTimeout{std::chrono::minutes{5}};

    /// Delay before a segment whose claim was lost or released is claimed again.
    std::chrono::milliseconds reclaimDelay{2000};

    SegmentRunSettings run;
};

} // namespace pistachiofall
