#pragma once

#include "batch/progress.h"
#include "batch/segmentclaim.h"
#include "batch/segmentitems.h"
#include "batch/segmentrunsettings.h"
#include "batch/storeaction.h"

#include "base/error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pistachiofall {

/// One instance's run of one segment: claims it in the store, runs its items, stores results, and
/// ends when all is stored, when the claim is given back, or when another instance has claimed it.
/// Time and events go in, actions come out.
///
/// A write whose outcome is unknown may take effect at any later time, but only while the object
/// has the version that the write is based on. So a read alone proves nothing about it; the next
/// confirmed write does.
class SegmentRun
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    enum class Phase {
        /// The items are not known yet.
        Loading,
        Claiming,
        Running,
        Ended,
    };

    enum class End {
        /// All results are stored, or the job was cancelled and none will follow.
        Finished,
        /// The claim was given back.
        Released,
        /// Another instance has the segment.
        Lost,
        /// The job was cancelled and the segment was never claimed.
        Absent,
    };

    /// A close-only run starts no item: it stores the results of finished items and closes the
    /// segment.
    SegmentRun(SegmentClaim claim, std::uint32_t itemCount, bool isCloseOnly,
               const SegmentRunSettings &settings, std::uint64_t seed);

    /// The items are known; whether each is idempotent.
    void onLoaded(const std::vector<bool> &isIdempotent);

    /// The next call of the store, if one is due and none is in progress. Its outcome is reported
    /// by exactly one of the functions below.
    std::optional<StoreAction> nextStoreAction(TimePoint now);

    /// Empty: there is no such object.
    void onRead(std::optional<Progress> found, std::string version);
    void onReadFailed(TimePoint now);
    void onWritten(std::string version, TimePoint now);
    void onWriteFailed(ErrorCode code, TimePoint now);
    /// The progress was too large; its results were stored as a part instead of being written.
    void onPartStored(const ResultPart &part);

    std::optional<std::uint32_t> startNext(TimePoint now);
    void onOutcome(std::uint32_t item, const ItemOutcome &outcome, TimePoint now);

    void setCheckpointInterval(std::chrono::milliseconds interval)
    {
        m_settings.checkpointInterval = interval;
    }

    /// Marks non-idempotent items, as many as could be started soon.
    void mark(std::size_t count, TimePoint now);

    /// The job was cancelled: starts nothing more, stores what ended once no item is running.
    void close();

    /// The instance gives the segment up: starts nothing more, stores what ended and gives the
    /// claim back once no item is running.
    void release();

    /// Ends a release although items are running. Non-idempotent ones stay marked as started.
    void abandonItems() { m_abandonsItems = true; }

    Phase phase() const { return m_phase; }
    /// Only when the phase is Ended.
    End end() const { return m_end; }
    /// Whether running items are to be cancelled.
    bool isStopping() const { return m_mode != Mode::Run || m_phase == Phase::Ended; }
    std::size_t runningCount() const { return m_items.runningCount(); }
    /// Items that could start now.
    std::size_t waitingCount(TimePoint now) const;
    /// Items without a result, in a run that goes on.
    std::size_t openCount() const;
    /// When the last result came, or the run began.
    TimePoint lastProgress() const { return m_lastProgress; }
    /// What is stored, once the run has ended as Finished.
    ResultCounts storedCounts() const { return m_storedCounts; }

private:
    enum class Mode {
        Run,
        Release,
        Close,
    };

    Progress snapshot() const;
    bool isFinal() const;
    bool isWriteDue(TimePoint now) const;
    bool mayClaim(const SegmentClaim &claim) const;
    void onReadWhileRunning(const std::optional<Progress> &found);
    void onReadWhileClaiming(const std::optional<Progress> &found);
    void endAs(End end);
    void delayCalls(TimePoint now);

    SegmentClaim m_claim;
    SegmentRunSettings m_settings;
    Backoff m_storeBackoff;
    std::mt19937_64 m_random;
    SegmentItems m_items;
    std::uint32_t m_itemCount;
    Mode m_mode = Mode::Run;
    Phase m_phase;
    End m_end = End::Lost;
    bool m_abandonsItems = false;
    TimePoint m_lastProgress = TimePoint::min();

    // The store.
    std::string m_version;
    bool m_isCallInFlight = false;
    bool m_mustRead = false;
    int m_failures = 0;
    TimePoint m_notBefore = TimePoint::min();
    TimePoint m_lastWrite = TimePoint::min();
    // What the write in progress holds.
    std::set<std::uint32_t> m_pendingMarks;
    std::uint64_t m_pendingGeneration = 0;
    ResultCounts m_pendingCounts;
    std::optional<End> m_pendingEnd;
    std::uint64_t m_storedGeneration = 0;
    ResultCounts m_storedCounts;
};

} // namespace pistachiofall
