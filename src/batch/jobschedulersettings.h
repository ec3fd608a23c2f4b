#pragma once

#include "batch/segmentrunsettings.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace pistachiofall {

/// What an instance's coordinator may do at a time.
struct JobSchedulerSettings
{
    /// Instance and incarnation; differs for each start of a process.
    std::string owner;

    std::size_t maxInFlight = 64;

    /// Segments that are claimed at a time. Each one that runs costs a write per checkpoint.
    std::size_t maxSegments = 16;

    /// Nothing is started when the start of the last successful read of the jobs is older. A job
    /// that was cancelled before that read starts no item, so this bounds the time after a cancel.
    std::chrono::milliseconds readFreshness{3000};

    /// The counts of finished segments are stored in the job at most this often, and at its end.
    /// They save a coordinator that takes the job over from reading the progress of each segment.
    std::chrono::milliseconds jobWriteInterval{30'000};

    /// A segment without a new result for this long is given back when an organisation without a
    /// segment waits for one. Models without endpoints would otherwise keep all segments. Longer
    /// than any item takes, because the items of the segment are cancelled.
    std::chrono::milliseconds stallTimeout{std::chrono::minutes{5}};

    /// The wait before a segment is claimed again that another instance holds.
    std::chrono::milliseconds reclaimDelay{2000};

    SegmentRunSettings run;
};

} // namespace pistachiofall
