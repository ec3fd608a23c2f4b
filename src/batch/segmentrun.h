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

/// One instance's run of one segment. Claims the segment in the store, runs its items and stores
/// the results. Ends when everything is stored, when the claim is released, or when another
/// instance has claimed the segment. Does no I/O itself: the caller passes in the time and events
/// and carries out the returned actions.
///
/// A write whose outcome is unknown may take effect at any later time, as long as the object still
/// has the version on which the write is based. Reading the object is therefore not enough to
/// resolve such a write; only the next confirmed write is.
class SegmentRun
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    enum class Phase {
        /// The items have not been loaded yet.
        Loading,
        Claiming,
        Running,
        Ended,
    };

    enum class End {
        /// All results are stored, or the job was cancelled and there will be no more results.
        Finished,
        /// The claim was released.
        Released,
        /// Another instance has claimed the segment.
        Lost,
        /// The job was cancelled and the segment was never claimed.
        Absent,
    };

    /// A close-only run starts no item: it stores the results of finished items and closes the
    /// segment.
    SegmentRun(SegmentClaim claim, std::uint32_t itemCount, bool isCloseOnly,
               const SegmentRunSettings &settings, std::uint64_t seed);

    /// Called when the items have been loaded, with a flag for each whether it is idempotent.
    void onLoaded(const std::vector<bool> &isIdempotent);

    /// Returns the next store call if one is due and none is in flight. The outcome has to be
    /// reported by exactly one of the functions below.
    std::optional<StoreAction> nextStoreAction(TimePoint now);

    /// found is nullopt if the object does not exist.
    void onRead(std::optional<Progress> found, std::string version);
    void onReadFailed(TimePoint now);
    void onWritten(std::string version, TimePoint now);
    void onWriteFailed(ErrorCode code, TimePoint now);
    /// Called when the progress was too large to be written and its results were stored as a part
    /// instead.
    void onPartStored(const ResultPart &part);

    std::optional<std::uint32_t> startNext(TimePoint now);
    void onOutcome(std::uint32_t item, const ItemOutcome &outcome, TimePoint now);

    void setCheckpointInterval(std::chrono::milliseconds interval)
    {
        m_settings.checkpointInterval = interval;
    }

    /// Marks up to count non-idempotent items that may start soon; see SegmentItems::mark().
    void mark(std::size_t count, TimePoint now);

    /// Called when the job was cancelled. Starts no more items, and closes the segment once no item
    /// is running and the results are stored.
    void close();

    /// Starts no more items, stores the results and releases the claim once no item is running.
    void release();

    /// Completes a release without waiting for running items. Non-idempotent ones stay marked as
    /// started.
    void abandonItems() { m_abandonsItems = true; }

    Phase phase() const { return m_phase; }
    /// Only valid in phase Ended.
    End end() const { return m_end; }
    /// Returns whether running items have to be cancelled.
    bool isStopping() const { return m_mode != Mode::Run || m_phase == Phase::Ended; }
    std::size_t runningCount() const { return m_items.runningCount(); }
    /// Number of items that could start now.
    std::size_t waitingCount(TimePoint now) const;
    /// Number of items without a result, or 0 unless the run is starting items.
    std::size_t openCount() const;
    /// Time of the last result, or of the start of the run.
    TimePoint lastProgress() const { return m_lastProgress; }
    /// Counts of the stored results. Only valid once the run has ended as Finished.
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

    // State of the store calls.
    std::string m_version;
    bool m_isCallInFlight = false;
    bool m_mustRead = false;
    int m_failures = 0;
    TimePoint m_notBefore = TimePoint::min();
    TimePoint m_lastWrite = TimePoint::min();
    // Content of the write in flight.
    std::set<std::uint32_t> m_pendingMarks;
    std::uint64_t m_pendingGeneration = 0;
    ResultCounts m_pendingCounts;
    std::optional<End> m_pendingEnd;
    std::uint64_t m_storedGeneration = 0;
    ResultCounts m_storedCounts;
};

} // namespace pistachiofall
