#pragma once

#include "batch/itemoutcome.h"
#include "batch/jobschedulersettings.h"
#include "batch/listedjob.h"
#include "batch/scheduledjob.h"
#include "batch/segmentkey.h"
#include "batch/segmentrun.h"

#include "base/error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace pistachiofall {

/// Decides what an instance's coordinator does next with its jobs: which segment to claim, which
/// item to start, which job to store. Organisations get equal shares of the items in flight, and
/// the jobs of one organisation run earliest due first.
class JobScheduler
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    using JobPredicate = std::function<bool(const JobId &)>;

    /// A job that is to be stored if it still has the version.
    struct JobWrite
    {
        Job job;
        std::string version;
    };

    JobScheduler(const JobSchedulerSettings &settings, std::uint64_t seed);

    /// All active jobs of the shards that this instance holds, as of a read of the store that began
    /// at a time. What is missing is given back.
    void onJobsRead(std::vector<ListedJob> jobs, TimePoint readStart);

    /// Whether any job is known here, also one that is being given back.
    bool hasJobs() const { return !m_jobs.empty(); }

    /// Whether a read of the jobs is needed sooner than usual.
    bool wantsRead() const;

    /// Whether the last successful read of the jobs is recent enough to start anything.
    bool mayStart(TimePoint now) const;

    /// A segment that now begins to be claimed; empty when none should be.
    std::optional<SegmentKey> claimNext(TimePoint now);

    /// An item that is now running; empty when none may start. Only jobs that the predicate accepts
    /// are considered.
    std::optional<ItemKey> startNext(TimePoint now, const JobPredicate &isHeld);

    void onOutcome(const ItemKey &key, const ItemOutcome &outcome, TimePoint now);

    /// Marks non-idempotent items that could be started soon. The checkpoints of all segments
    /// together are spaced out to the time given, so with more segments each has fewer.
    void prepareWrites(TimePoint now, std::chrono::milliseconds checkpointSpacing);

    /// Gives a segment back whose items make no progress, when an organisation without a segment
    /// waits for one.
    void releaseStalled(TimePoint now);

    /// Drops runs that have ended, and notes which segments have finished. Returns those dropped.
    std::vector<std::pair<SegmentKey, SegmentRun::End>> removeEndedRuns(TimePoint now);

    /// A job that is to be stored now. Its outcome is reported by one of the two functions below.
    std::optional<JobWrite> nextJobWrite(TimePoint now);
    void onJobWritten(const JobId &id, std::string version, TimePoint now);
    void onJobWriteFailed(const JobId &id, ErrorCode code, TimePoint now);

    /// Gives everything back: starts and claims nothing more.
    void release();
    /// Ends the release although items are running.
    void abandonItems();

    /// Null when the segment is not run.
    SegmentRun *run(const SegmentKey &key);
    const Job *job(const JobId &id) const;
    std::vector<SegmentKey> runs() const;
    std::size_t inFlight() const { return m_inFlight; }

private:
    using ScheduledJob = batch::detail::ScheduledJob;

    struct Organisation
    {
        std::size_t inFlight = 0;
        /// The number of the start at which the organisation was served last.
        std::uint64_t lastServed = 0;
    };

    // Lower goes first.
    using Rank = std::tuple<std::size_t, std::uint64_t, std::chrono::system_clock::time_point,
                            std::chrono::system_clock::time_point, JobId>;

    Rank rankOf(const Job &job) const;
    void merge(ListedJob listed, TimePoint readStart);
    std::set<std::string> organisationsWithWork(TimePoint now) const;
    bool isOrganisationWaiting(TimePoint now) const;
    bool mayClaim(const ScheduledJob &entry, const std::set<std::string> &withWork,
                  TimePoint now) const;
    bool needsWrite(const ScheduledJob &entry) const;
    void onEnded(ScheduledJob &entry, std::uint32_t segment, const SegmentRun &run, TimePoint now);
    std::size_t runCount() const;

    JobSchedulerSettings m_settings;
    std::mt19937_64 m_random;
    std::map<JobId, ScheduledJob> m_jobs;
    std::map<std::string, Organisation> m_organisations;
    // When jobs were stored as inactive. A read that began before may still show them as active.
    std::map<JobId, TimePoint> m_ended;
    std::optional<TimePoint> m_lastRead;
    std::size_t m_inFlight = 0;
    std::uint64_t m_startCount = 0;
    bool m_isReleasing = false;
};

} // namespace pistachiofall
