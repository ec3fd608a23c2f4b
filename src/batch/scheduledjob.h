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

/// State that JobScheduler keeps for one active job.
struct ScheduledJob
{
    using TimePoint = std::chrono::steady_clock::time_point;

    /// The job as last read from the store, plus the segments that have finished since.
    Job job;
    std::string version;
    std::uint64_t epoch = 0;
    std::map<std::uint32_t, std::unique_ptr<SegmentRun>> runs;
    /// The job is missing from the last listing or was stored as inactive: it has ended, or another
    /// instance is responsible for it. The entry is removed once its runs have ended and no write
    /// is in flight.
    bool isObsolete = false;
    /// The job was cancelled and its remaining segments were never claimed.
    bool isRemainderUnclaimed = false;
    /// Earliest time of the next claim. Set after a claim was lost to another instance or released.
    TimePoint claimNotBefore = TimePoint::min();

    /// Whether a segment has finished that the stored job does not yet show as finished.
    bool hasUnstoredCounts = false;
    bool isWriteInFlight = false;
    /// Whether the write in flight stores the job as inactive.
    bool isFinalWrite = false;
    /// Whether the version may be stale until the jobs are read again.
    bool mustRead = false;
    /// Time of the last failed write.
    TimePoint lastWriteFailure = TimePoint::min();
    /// Earliest time of the next write that only stores the counts of finished segments.
    TimePoint writeNotBefore = TimePoint::min();
    /// Earliest time of any write after a failed one.
    TimePoint retryNotBefore = TimePoint::min();

    bool isOpen() const { return !isObsolete && job.state == JobState::Open; }

    /// Returns the first segment that has neither finished nor a run.
    std::optional<std::uint32_t> nextSegment() const;

    /// Returns whether a claim is still in progress. Segments are claimed in order and one at a
    /// time, so that every segment after the first unclaimed one is unclaimed as well.
    bool isClaiming() const;

    bool areAllSegmentsFinished() const;

    /// Copies the counts of the segments that have finished according to the other job.
    void mergeFinished(const Job &other);
};

} // namespace pistachiofall::batch::detail
