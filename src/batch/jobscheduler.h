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

/// Decides what the coordinator of an instance does next with its jobs: which segment to claim,
/// which item to start, which job to store. Organisations get equal shares of the items in flight;
/// the jobs of one organisation run in order of their due time, earliest first. Makes no store
/// calls itself.
class JobScheduler
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    using JobPredicate = std::function<bool(const JobId &)>;

    /// A conditional write: the job is stored only if its object still has the version.
    struct JobWrite
    {
        Job job;
        std::string version;
    };

    JobScheduler(const JobSchedulerSettings &settings, std::uint64_t seed);

    /// Replaces the known jobs by all active jobs of the shards that this instance holds, as
    /// returned by a read of the store that began at readStart. Jobs that are missing from the list
    /// are released.
    void onJobsRead(std::vector<ListedJob> jobs, TimePoint readStart);

    /// Returns whether any job is known, including jobs that are being released.
    bool hasJobs() const { return !m_jobs.empty(); }

    /// Returns whether the jobs have to be read before the next regular read.
    bool wantsRead() const;

    /// Returns whether the last successful read of the jobs is recent enough to start items or
    /// claim segments.
    bool mayStart(TimePoint now) const;

    /// Begins to claim the next segment and returns it. Returns nullopt if no segment should be
    /// claimed.
    std::optional<SegmentKey> claimNext(TimePoint now);

    /// Starts the next item and returns it. Returns nullopt if no item may start. Only jobs
    /// accepted by the predicate are considered.
    std::optional<ItemKey> startNext(TimePoint now, const JobPredicate &isHeld);

    void onOutcome(const ItemKey &key, const ItemOutcome &outcome, TimePoint now);

    /// Marks non-idempotent items that may start soon, and sets the checkpoint interval of all
    /// runs. At most one checkpoint per checkpointSpacing is written on average, so each segment
    /// writes fewer checkpoints the more segments there are.
    void prepareWrites(TimePoint now, std::chrono::milliseconds checkpointSpacing);

    /// Releases a stalled segment, one whose items make no progress, if an organisation without a
    /// segment is waiting for one.
    void releaseStalled(TimePoint now);

    /// Removes runs that have ended, records which segments have finished, and returns the removed
    /// runs.
    std::vector<std::pair<SegmentKey, SegmentRun::End>> removeEndedRuns(TimePoint now);

    /// Returns a job that has to be stored now, if any. The outcome has to be reported by exactly
    /// one of the two functions below.
    std::optional<JobWrite> nextJobWrite(TimePoint now);
    void onJobWritten(const JobId &id, std::string version, TimePoint now);
    void onJobWriteFailed(const JobId &id, ErrorCode code, TimePoint now);

    /// Releases all segments and starts or claims nothing more.
    void release();
    /// Completes the release without waiting for running items.
    void abandonItems();

    /// Returns nullptr if the segment has no run.
    SegmentRun *run(const SegmentKey &key);
    const Job *job(const JobId &id) const;
    std::vector<SegmentKey> runs() const;
    std::size_t inFlight() const { return m_inFlight; }

private:
    using ScheduledJob = batch::detail::ScheduledJob;

    struct Organisation
    {
        std::size_t inFlight = 0;
        /// Value of m_startCount when an item of the organisation was last started.
        std::uint64_t lastServed = 0;
    };

    // The lowest rank goes first.
    using Rank = std::tuple<std::size_t, std::uint64_t, std::chrono::system_clock::time_point,
                            std::chrono::system_clock::time_point, JobId>;

    Rank rankOf(const Job &job) const;
    void mergeListed(ListedJob listed, TimePoint readStart);
    std::set<std::string> organisationsWithWork(TimePoint now) const;
    bool isOrganisationWaiting(TimePoint now) const;
    bool mayClaim(const ScheduledJob &entry, const std::set<std::string> &withWork,
                  TimePoint now) const;
    bool needsWrite(const ScheduledJob &entry) const;
    void onRunEnded(ScheduledJob &entry, std::uint32_t segment, const SegmentRun &run,
                    TimePoint now);
    std::size_t runCount() const;

    JobSchedulerSettings m_settings;
    std::mt19937_64 m_random;
    std::map<JobId, ScheduledJob> m_jobs;
    std::map<std::string, Organisation> m_organisations;
    // Times at which jobs were stored as inactive. A read that began before such a write may still
    // list the job as active.
    std::map<JobId, TimePoint> m_ended;
    std::optional<TimePoint> m_lastRead;
    std::size_t m_inFlight = 0;
    std::uint64_t m_startCount = 0;
    bool m_isReleasing = false;
};

} // namespace pistachiofall
