#pragma once

#include "batch/job.h"
#include "batch/segmentrun.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pistachiofall::batch::detail {

/// A job that a scheduler works on.
struct ScheduledJob
{
    using TimePoint = std::chrono::steady_clock::time_point;

    /// As read from the store, with the segments that have finished since.
    Job job;
    std::string version;
    std::uint64_t epoch = 0;
    std::map<std::uint32_t, std::unique_ptr<SegmentRun>> runs;
    /// Not in the last list: done, or no longer this instance's.
    bool isObsolete = false;
    /// The job was cancelled, and its remaining segments were never claimed.
    bool isRemainderUnclaimed = false;
    /// No segment is claimed before, because another instance holds one.
    TimePoint claimNotBefore = TimePoint::min();

    /// Whether a segment has finished that the stored job does not show.
    bool hasUnstoredCounts = false;
    bool isWriteInFlight = false;
    /// The write in progress makes the job inactive.
    bool isFinalWrite = false;
    /// The version may be outdated until the next read of the jobs.
    bool mustRead = false;
    /// When the last write failed.
    TimePoint lastWriteFailure = TimePoint::min();
    /// For the counts of finished segments.
    TimePoint writeNotBefore = TimePoint::min();
    /// For any write, after one that failed.
    TimePoint retryNotBefore = TimePoint::min();

    bool isOpen() const { return !isObsolete && job.state == JobState::Open; }

    /// The first segment that is neither finished nor run.
    std::optional<std::uint32_t> nextSegment() const;

    /// Whether a run has not ended its claim yet. Segments are claimed in order and one at a time,
    /// so that all that come after the first unclaimed one are unclaimed.
    bool isClaiming() const;

    bool areAllSegmentsFinished() const;

    /// Takes over the segments that have finished according to the other job.
    void mergeFinished(const Job &other);
};

} // namespace pistachiofall::batch::detail
