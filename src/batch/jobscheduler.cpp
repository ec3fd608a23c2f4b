#include "batch/jobscheduler.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pistachiofall {

namespace {

// Delay before a job write that failed without having had any effect is retried.
constexpr std::chrono::seconds JobWriteRetryDelay{1};

} // namespace

JobScheduler::JobScheduler(const JobSchedulerSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{ }

void JobScheduler::onJobsRead(std::vector<ListedJob> jobs, TimePoint readStart)
{
    m_lastRead = readStart;
    std::set<JobId> listed;
    for (ListedJob &job : jobs) {
        const auto ended = m_ended.find(job.job.id);
        if (ended != m_ended.end() && readStart <= ended->second)
            continue;
        listed.insert(job.job.id);
        mergeListed(std::move(job), readStart);
    }
    std::erase_if(m_ended, [&](const auto &entry) { return entry.second < readStart; });
    for (auto &[id, entry] : m_jobs) {
        if (listed.contains(id))
            continue;
        entry.isObsolete = true;
        for (const auto &[segment, run] : entry.runs)
            run->release();
    }
}

void JobScheduler::mergeListed(ListedJob listed, TimePoint readStart)
{
    const bool isNew = !m_jobs.contains(listed.job.id);
    ScheduledJob &entry = m_jobs[listed.job.id];
    ScheduledJob before = std::move(entry);
    entry = ScheduledJob{};
    entry.job = std::move(listed.job);
    entry.version = std::move(listed.version);
    entry.epoch = listed.epoch;
    entry.mergeFinished(before.job);
    entry.runs = std::move(before.runs);
    entry.isRemainderUnclaimed =
            before.isRemainderUnclaimed && entry.job.state == JobState::Cancelled;
    entry.claimNotBefore = before.claimNotBefore;
    entry.isWriteInFlight = before.isWriteInFlight;
    entry.isFinalWrite = before.isFinalWrite;
    entry.retryNotBefore = before.retryNotBefore;
    entry.writeNotBefore = isNew ? readStart + m_settings.jobWriteInterval : before.writeNotBefore;
    // A read that began before the outcome of the write was known may have returned the job as it
    // was before the write.
    entry.mustRead = before.mustRead && readStart <= before.lastWriteFailure;
    entry.lastWriteFailure = before.lastWriteFailure;
    if (entry.job.state == JobState::Cancelled) {
        for (const auto &[segment, run] : entry.runs)
            run->close();
    }
}

bool JobScheduler::wantsRead() const
{
    return std::ranges::any_of(m_jobs, [](const auto &entry) { return entry.second.mustRead; });
}

bool JobScheduler::mayStart(TimePoint now) const
{
    return !m_isReleasing && m_lastRead && now - *m_lastRead <= m_settings.readFreshness;
}

JobScheduler::Rank JobScheduler::rankOf(const Job &job) const
{
    const auto found = m_organisations.find(job.organisation);
    const Organisation organisation =
            found == m_organisations.end() ? Organisation{} : found->second;
    return {organisation.inFlight, organisation.lastServed, job.due, job.created, job.id};
}

std::size_t JobScheduler::runCount() const
{
    std::size_t count = 0;
    for (const auto &[id, entry] : m_jobs)
        count += entry.runs.size();
    return count;
}

// Returns the organisations that need no further segment: an item can start, a claim is in
// progress, or the items that wait after a failed attempt would fill all slots.
std::set<std::string> JobScheduler::organisationsWithWork(TimePoint now) const
{
    std::map<std::string, std::size_t> open;
    std::set<std::string> organisations;
    for (const auto &[id, entry] : m_jobs) {
        bool hasWork = entry.isClaiming();
        std::size_t &count = open[entry.job.organisation];
        for (const auto &[segment, run] : entry.runs) {
            hasWork = hasWork || run->waitingCount(now) > 0;
            count += run->openCount();
        }
        if (hasWork || count >= m_settings.maxInFlight)
            organisations.insert(entry.job.organisation);
    }
    return organisations;
}

bool JobScheduler::mayClaim(const ScheduledJob &entry, const std::set<std::string> &withWork,
                            TimePoint now) const
{
    if (entry.isObsolete || now < entry.claimNotBefore || entry.isClaiming())
        return false;
    if (entry.job.state == JobState::Cancelled)
        return !entry.isRemainderUnclaimed && entry.runs.empty() && entry.nextSegment();
    if (withWork.contains(entry.job.organisation))
        return false;
    const auto found = m_organisations.find(entry.job.organisation);
    const bool hasItemsInFlight = found != m_organisations.end() && found->second.inFlight > 0;
    return (m_inFlight < m_settings.maxInFlight || !hasItemsInFlight) && entry.nextSegment();
}

std::optional<SegmentKey> JobScheduler::claimNext(TimePoint now)
{
    if (!mayStart(now) || runCount() >= m_settings.maxSegments)
        return std::nullopt;
    const auto withWork = organisationsWithWork(now);
    ScheduledJob *best = nullptr;
    for (auto &[id, entry] : m_jobs) {
        if (mayClaim(entry, withWork, now)
            && (best == nullptr || rankOf(entry.job) < rankOf(best->job)))
            best = &entry;
    }
    if (best == nullptr)
        return std::nullopt;
    const std::uint32_t segment = *best->nextSegment();
    const bool isCloseOnly = best->job.state == JobState::Cancelled;
    SegmentClaim claim{m_settings.owner, best->epoch};
    best->runs[segment] =
            std::make_unique<SegmentRun>(std::move(claim), best->job.segments[segment].itemCount,
                                         isCloseOnly, m_settings.run, m_random());
    return SegmentKey{best->job.id, segment};
}

std::optional<ItemKey> JobScheduler::startNext(TimePoint now, const JobPredicate &isHeld)
{
    if (!mayStart(now) || m_inFlight >= m_settings.maxInFlight)
        return std::nullopt;
    std::vector<std::pair<Rank, ScheduledJob *>> candidates;
    for (auto &[id, entry] : m_jobs) {
        if (entry.isOpen() && !entry.runs.empty() && isHeld(id))
            candidates.emplace_back(rankOf(entry.job), &entry);
    }
    std::ranges::sort(candidates);
    for (const auto &[rank, entry] : candidates) {
        for (const auto &[segment, run] : entry->runs) {
            const auto item = run->startNext(now);
            if (!item)
                continue;
            Organisation &organisation = m_organisations[entry->job.organisation];
            ++organisation.inFlight;
            organisation.lastServed = ++m_startCount;
            ++m_inFlight;
            return ItemKey{{entry->job.id, segment}, *item};
        }
    }
    return std::nullopt;
}

void JobScheduler::onOutcome(const ItemKey &key, const ItemOutcome &outcome, TimePoint now)
{
    --m_inFlight;
    if (const Job *owner = job(key.segment.job))
        --m_organisations[owner->organisation].inFlight;
    if (SegmentRun *run = this->run(key.segment))
        run->onOutcome(key.item, outcome, now);
}

void JobScheduler::prepareWrites(TimePoint now, std::chrono::milliseconds checkpointSpacing)
{
    const auto spacing = checkpointSpacing * static_cast<int>(runCount());
    const auto interval = std::max(m_settings.run.checkpointInterval, spacing);
    const std::size_t freeSlots = mayStart(now) && m_inFlight < m_settings.maxInFlight
            ? m_settings.maxInFlight - m_inFlight
            : 0;
    for (auto &[id, entry] : m_jobs) {
        for (const auto &[segment, run] : entry.runs) {
            run->setCheckpointInterval(interval);
            if (entry.isOpen())
                run->mark(freeSlots, now);
        }
    }
}

bool JobScheduler::isOrganisationWaiting(TimePoint now) const
{
    std::set<std::string> withRuns;
    for (const auto &[id, entry] : m_jobs) {
        if (!entry.runs.empty())
            withRuns.insert(entry.job.organisation);
    }
    return std::ranges::any_of(m_jobs, [&](const auto &item) {
        const ScheduledJob &entry = item.second;
        return !withRuns.contains(entry.job.organisation) && mayClaim(entry, {}, now);
    });
}

void JobScheduler::releaseStalled(TimePoint now)
{
    if (!mayStart(now) || runCount() < m_settings.maxSegments || !isOrganisationWaiting(now))
        return;
    SegmentRun *stalled = nullptr;
    for (const auto &[id, entry] : m_jobs) {
        for (const auto &[segment, run] : entry.runs) {
            // At most one segment is released at a time.
            if (run->isStopping())
                return;
            if (run->openCount() > 0 && now - run->lastProgress() >= m_settings.stallTimeout
                && (stalled == nullptr || run->lastProgress() < stalled->lastProgress()))
                stalled = run.get();
        }
    }
    if (stalled != nullptr)
        stalled->release();
}

std::vector<std::pair<SegmentKey, SegmentRun::End>> JobScheduler::removeEndedRuns(TimePoint now)
{
    std::vector<std::pair<SegmentKey, SegmentRun::End>> dropped;
    for (auto &[id, entry] : m_jobs) {
        for (auto next = entry.runs.begin(); next != entry.runs.end();) {
            const auto current = next++;
            const SegmentRun &run = *current->second;
            if (run.phase() != SegmentRun::Phase::Ended || run.runningCount() > 0)
                continue;
            onRunEnded(entry, current->first, run, now);
            dropped.emplace_back(SegmentKey{id, current->first}, run.end());
            entry.runs.erase(current);
        }
    }
    std::erase_if(m_jobs, [](const auto &item) {
        return item.second.isObsolete && item.second.runs.empty() && !item.second.isWriteInFlight;
    });
    std::set<std::string> organisations;
    for (const auto &[id, entry] : m_jobs)
        organisations.insert(entry.job.organisation);
    std::erase_if(m_organisations,
                  [&](const auto &item) { return !organisations.contains(item.first); });
    return dropped;
}

void JobScheduler::onRunEnded(ScheduledJob &entry, std::uint32_t segment, const SegmentRun &run,
                              TimePoint now)
{
    switch (run.end()) {
    case SegmentRun::End::Finished:
        entry.job.segments[segment].finished = run.storedCounts();
        entry.hasUnstoredCounts = true;
        break;
    case SegmentRun::End::Absent:
        entry.isRemainderUnclaimed = true;
        break;
    case SegmentRun::End::Lost:
    case SegmentRun::End::Released:
        entry.claimNotBefore = now + m_settings.reclaimDelay;
        break;
    }
}

bool JobScheduler::needsWrite(const ScheduledJob &entry) const
{
    return !entry.isObsolete && !entry.isWriteInFlight && !entry.mustRead
            && (entry.hasUnstoredCounts || entry.isRemainderUnclaimed
                || entry.areAllSegmentsFinished());
}

std::optional<JobScheduler::JobWrite> JobScheduler::nextJobWrite(TimePoint now)
{
    for (auto &[id, entry] : m_jobs) {
        if (!needsWrite(entry))
            continue;
        const bool isEnd = entry.runs.empty()
                && (entry.areAllSegmentsFinished() || entry.isRemainderUnclaimed);
        if (now < entry.retryNotBefore || (now < entry.writeNotBefore && !isEnd))
            continue;
        JobWrite write{entry.job, entry.version};
        if (isEnd) {
            write.job.isActive = false;
            if (write.job.state == JobState::Open)
                write.job.state = JobState::Done;
        }
        entry.isWriteInFlight = true;
        entry.isFinalWrite = isEnd;
        entry.hasUnstoredCounts = false;
        return write;
    }
    return std::nullopt;
}

void JobScheduler::onJobWritten(const JobId &id, std::string version, TimePoint now)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    ScheduledJob &entry = found->second;
    entry.isWriteInFlight = false;
    entry.version = std::move(version);
    entry.writeNotBefore = now + m_settings.jobWriteInterval;
    if (entry.isFinalWrite) {
        entry.isObsolete = true;
        m_ended[id] = now;
    }
}

void JobScheduler::onJobWriteFailed(const JobId &id, ErrorCode code, TimePoint now)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    ScheduledJob &entry = found->second;
    entry.isWriteInFlight = false;
    entry.hasUnstoredCounts = true;
    entry.lastWriteFailure = now;
    // Unless the write certainly had no effect, it may have changed the version.
    entry.mustRead = code != ErrorCode::Unavailable;
    entry.retryNotBefore = now + JobWriteRetryDelay;
}

void JobScheduler::release()
{
    m_isReleasing = true;
    for (auto &[id, entry] : m_jobs) {
        for (const auto &[segment, run] : entry.runs)
            run->release();
    }
}

void JobScheduler::abandonItems()
{
    for (auto &[id, entry] : m_jobs) {
        for (const auto &[segment, run] : entry.runs)
            run->abandonItems();
    }
}

SegmentRun *JobScheduler::run(const SegmentKey &key)
{
    const auto found = m_jobs.find(key.job);
    if (found == m_jobs.end())
        return nullptr;
    const auto run = found->second.runs.find(key.segment);
    return run == found->second.runs.end() ? nullptr : run->second.get();
}

const Job *JobScheduler::job(const JobId &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second.job;
}

std::vector<SegmentKey> JobScheduler::runs() const
{
    std::vector<SegmentKey> keys;
    for (const auto &[id, entry] : m_jobs) {
        for (const auto &[segment, run] : entry.runs)
            keys.push_back({id, segment});
    }
    return keys;
}

} // namespace pistachiofall
