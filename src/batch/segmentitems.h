#pragma once

#include "batch/itemoutcome.h"
#include "batch/itemresult.h"
#include "batch/progress.h"
#include "batch/segmentrunsettings.h"
#include "coord/backoff.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace pistachiofall {

/// State machine of the items of a running segment: selects the next item to start and processes
/// outcomes. Depends on the current time, but neither on the store nor on the endpoints.
///
/// A non-idempotent item is started only when its mark is durable, that is, when a write confirmed
/// by the store contained the mark and the mark has not been withdrawn since. Otherwise a write
/// without the mark whose outcome is unknown could take effect after the item has started, and the
/// item would be started again after a takeover.
class SegmentItems
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    SegmentItems(std::vector<bool> isIdempotent, const SegmentRunSettings &settings,
                 std::uint64_t seed);

    /// Restores the results of the stored progress and resets all other state. Items that were
    /// started and have no result end with the error "outcome_unknown".
    void restore(const Progress &stored);

    /// Starts the next item and returns it. Returns nullopt if no item is ready.
    std::optional<std::uint32_t> startNext(TimePoint now);

    /// Processes the outcome of an attempt. Ignored if the item is not running.
    void onOutcome(std::uint32_t item, const ItemOutcome &outcome, TimePoint now);

    /// Marks waiting non-idempotent items as started until min(count, maxMarkedAhead) items are
    /// marked and waiting.
    void mark(std::size_t count, TimePoint now);

    /// Moves results to a part that has been stored.
    void moveToPart(const ResultPart &part);

    // Content of a write, and the handling of its confirmation.

    /// Non-idempotent items that are marked as started.
    const std::set<std::uint32_t> &started() const { return m_marked; }
    /// The marked items that are running.
    std::set<std::uint32_t> startedAndRunning() const;
    const ResultMap &results() const { return m_results; }
    const std::vector<ResultPart> &parts() const { return m_parts; }
    /// Incremented with each new result or part.
    std::uint64_t generation() const { return m_generation; }
    bool hasUnstoredMarks() const;
    /// Called when the store has confirmed a write that contained the marks.
    void onStored(const std::set<std::uint32_t> &marks);

    /// Number of waiting items whose delay has passed.
    std::size_t waitingCount(TimePoint now) const;
    std::size_t runningCount() const { return m_running; }
    std::size_t openCount() const { return m_items.size() - m_done; }
    bool isComplete() const { return openCount() == 0; }

private:
    enum class State {
        Waiting,
        Running,
        Done,
    };

    struct Item
    {
        bool isIdempotent = true;
        State state = State::Waiting;
        int attempts = 0;
        int refusals = 0;
        TimePoint notBefore = TimePoint::min();
    };

    void apply(std::uint32_t item, const ItemAnswer &outcome, TimePoint now);
    void apply(std::uint32_t item, const ItemRetryable &outcome, TimePoint now);
    void apply(std::uint32_t item, const ItemFailed &outcome, TimePoint now);
    void apply(std::uint32_t item, const ItemRevoked &outcome, TimePoint now);
    void apply(std::uint32_t item, const ItemNotRun &outcome, TimePoint now);
    void apply(std::uint32_t item, const ItemOutcomeUnknown &outcome, TimePoint now);

    void waitUntil(std::uint32_t item, TimePoint notBefore);
    void finish(std::uint32_t item, ItemResult result);
    void finishWithUnknownOutcome(std::uint32_t item, const std::string &message);
    void setDone(std::uint32_t item);

    SegmentRunSettings m_settings;
    Backoff m_retryBackoff;
    Backoff m_refusalBackoff;
    std::mt19937_64 m_random;
    std::vector<Item> m_items;
    // Ordered by the earliest start time.
    std::set<std::pair<TimePoint, std::uint32_t>> m_waiting;
    std::set<std::uint32_t> m_marked;
    std::set<std::uint32_t> m_durableMarks;
    ResultMap m_results;
    std::vector<ResultPart> m_parts;
    std::uint64_t m_generation = 0;
    std::size_t m_running = 0;
    std::size_t m_done = 0;
};

} // namespace pistachiofall
