#include "batch/segmentrun.h"

#include <utility>

namespace pistachiofall {

SegmentRun::SegmentRun(SegmentClaim claim, std::uint32_t itemCount, bool isCloseOnly,
                       const SegmentRunSettings &settings, std::uint64_t seed)
    : m_claim(std::move(claim))
    , m_settings(settings)
    , m_storeBackoff(settings.firstStoreDelay, settings.maxStoreDelay)
    , m_random(seed)
    , m_items(std::vector<bool>(itemCount, true), settings, seed)
    , m_itemCount(itemCount)
    , m_mode(isCloseOnly ? Mode::Close : Mode::Run)
    , m_phase(isCloseOnly ? Phase::Claiming : Phase::Loading)
    , m_mustRead(isCloseOnly)
{ }

void SegmentRun::onLoaded(const std::vector<bool> &isIdempotent)
{
    if (m_phase != Phase::Loading)
        return;
    m_items = SegmentItems(isIdempotent, m_settings, m_random());
    m_phase = Phase::Claiming;
}

std::optional<StoreAction> SegmentRun::nextStoreAction(TimePoint now)
{
    if (m_isCallInFlight || m_phase == Phase::Loading || m_phase == Phase::Ended
        || now < m_notBefore)
        return std::nullopt;
    if (m_phase == Phase::Running && !m_mustRead && !isWriteDue(now))
        return std::nullopt;
    m_isCallInFlight = true;
    if (m_mustRead)
        return ReadProgress{};
    Progress progress = snapshot();
    m_pendingMarks = progress.started;
    m_pendingGeneration = m_items.generation();
    m_pendingCounts = progress.counts();
    m_pendingEnd.reset();
    if (progress.isClosed)
        m_pendingEnd = End::Finished;
    else if (progress.claim.owner.empty())
        m_pendingEnd = End::Released;
    if (m_version.empty())
        return CreateProgress{std::move(progress)};
    return UpdateProgress{std::move(progress), m_version};
}

Progress SegmentRun::snapshot() const
{
    Progress progress;
    progress.claim = m_claim;
    progress.itemCount = m_itemCount;
    progress.started = m_items.started();
    progress.parts = m_items.parts();
    progress.results = m_items.results();
    if (m_phase == Phase::Running && isFinal()) {
        // Items that are marked but not running will not be started any more.
        progress.started = m_items.startedAndRunning();
        progress.isClosed = m_items.isComplete() || m_mode == Mode::Close;
        if (!progress.isClosed)
            progress.claim.owner.clear();
    }
    return progress;
}

bool SegmentRun::isFinal() const
{
    if (m_items.isComplete())
        return true;
    return m_mode != Mode::Run && (m_items.runningCount() == 0 || m_abandonsItems);
}

bool SegmentRun::isWriteDue(TimePoint now) const
{
    if (isFinal())
        return true;
    if (m_mode == Mode::Run && m_items.hasUnstoredMarks()
        && now - m_lastWrite >= m_settings.markInterval)
        return true;
    return m_items.generation() != m_storedGeneration
            && now - m_lastWrite >= m_settings.checkpointInterval;
}

void SegmentRun::onRead(std::optional<Progress> found, std::string version)
{
    m_isCallInFlight = false;
    m_mustRead = false;
    m_failures = 0;
    if (m_phase == Phase::Ended)
        return;
    m_version = std::move(version);
    if (m_phase == Phase::Running)
        onReadWhileRunning(found);
    else
        onReadWhileClaiming(found);
}

// The claim was confirmed before, so everything stored under it is also in memory.
void SegmentRun::onReadWhileRunning(const std::optional<Progress> &found)
{
    const bool isOwn = found && found->claim.epoch == m_claim.epoch
            && (found->claim.owner == m_claim.owner || found->claim.owner.empty());
    if (!isOwn) {
        endAs(End::Lost);
    } else if (found->isClosed) {
        m_storedCounts = found->counts();
        endAs(End::Finished);
    } else if (found->claim.owner.empty()) {
        endAs(End::Released);
    }
}

void SegmentRun::onReadWhileClaiming(const std::optional<Progress> &found)
{
    if (!found) {
        if (m_mode == Mode::Close)
            endAs(End::Absent);
        else if (m_mode == Mode::Release)
            endAs(End::Released);
        return;
    }
    if (found->isClosed) {
        m_storedCounts = found->counts();
        endAs(End::Finished);
    } else if (m_mode == Mode::Release && found->claim != m_claim) {
        endAs(End::Released);
    } else if (!mayClaim(found->claim) || found->itemCount != m_itemCount) {
        endAs(End::Lost);
    } else {
        m_items.restore(*found);
    }
}

bool SegmentRun::mayClaim(const SegmentClaim &claim) const
{
    if (claim.epoch == m_claim.epoch)
        return claim.owner.empty() || claim.owner == m_claim.owner;
    return claim.epoch < m_claim.epoch;
}

void SegmentRun::onReadFailed(TimePoint now)
{
    m_isCallInFlight = false;
    delayCalls(now);
}

void SegmentRun::onWritten(std::string version, TimePoint now)
{
    m_isCallInFlight = false;
    m_failures = 0;
    if (m_phase == Phase::Ended)
        return;
    m_version = std::move(version);
    m_lastWrite = now;
    m_storedGeneration = m_pendingGeneration;
    m_items.onStored(m_pendingMarks);
    if (m_phase == Phase::Claiming)
        m_lastProgress = now;
    m_phase = Phase::Running;
    m_storedCounts = m_pendingCounts;
    if (m_pendingEnd)
        endAs(*m_pendingEnd);
}

void SegmentRun::onWriteFailed(ErrorCode code, TimePoint now)
{
    m_isCallInFlight = false;
    if (code == ErrorCode::Unavailable) {
        delayCalls(now);
        return;
    }
    m_mustRead = true;
    m_storedGeneration = 0;
    if (code != ErrorCode::Conflict && code != ErrorCode::AlreadyExists)
        delayCalls(now);
}

void SegmentRun::onPartStored(const ResultPart &part)
{
    m_isCallInFlight = false;
    if (m_phase != Phase::Ended)
        m_items.moveToPart(part);
}

void SegmentRun::delayCalls(TimePoint now)
{
    const auto delay = m_storeBackoff.delay(++m_failures, m_random());
    m_notBefore = now + m_settings.firstStoreDelay / 2 + delay / 2;
}

std::optional<std::uint32_t> SegmentRun::startNext(TimePoint now)
{
    if (m_phase != Phase::Running || m_mode != Mode::Run)
        return std::nullopt;
    return m_items.startNext(now);
}

void SegmentRun::onOutcome(std::uint32_t item, const ItemOutcome &outcome, TimePoint now)
{
    const std::uint64_t before = m_items.generation();
    m_items.onOutcome(item, outcome, now);
    if (m_items.generation() != before)
        m_lastProgress = now;
}

void SegmentRun::mark(std::size_t count, TimePoint now)
{
    if (m_phase == Phase::Running && m_mode == Mode::Run)
        m_items.mark(count, now);
}

void SegmentRun::close()
{
    m_mode = Mode::Close;
    // The progress object is read first if it is not known to exist, because none must be created
    // for a segment that was never claimed.
    if (m_phase == Phase::Loading || m_phase == Phase::Claiming)
        m_mustRead = m_mustRead || m_version.empty();
    if (m_phase == Phase::Loading)
        m_phase = Phase::Claiming;
}

void SegmentRun::release()
{
    if (m_mode == Mode::Run)
        m_mode = Mode::Release;
    if (m_phase == Phase::Loading
        || (m_phase == Phase::Claiming && !m_isCallInFlight && m_version.empty()))
        endAs(End::Released);
}

std::size_t SegmentRun::waitingCount(TimePoint now) const
{
    return m_phase == Phase::Running && m_mode == Mode::Run ? m_items.waitingCount(now) : 0;
}

std::size_t SegmentRun::openCount() const
{
    return m_phase == Phase::Running && m_mode == Mode::Run ? m_items.openCount() : 0;
}

void SegmentRun::endAs(End end)
{
    m_phase = Phase::Ended;
    m_end = end;
}

} // namespace pistachiofall
