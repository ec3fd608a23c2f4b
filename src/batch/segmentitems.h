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

/// The items of a segment while it is run: which one is next, and what an outcome means for it.
/// Knows time, but neither the store nor the endpoints.
///
/// A non-idempotent item is started only when its mark is durable: a write that the store confirmed
/// had it, and it was not withdrawn since. Otherwise a write without the mark, whose outcome is
/// unknown, could take effect after the item has started.
class SegmentItems
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    SegmentItems(std::vector<bool> isIdempotent, const SegmentRunSettings &settings,
                 std::uint64_t seed);

    /// Takes over what is stored, and forgets all else. Started items without a result end as
    /// "outcome_unknown".
    void restore(const Progress &stored);

    /// The next item to start, which is then running; empty when none is ready.
    std::optional<std::uint32_t> startNext(TimePoint now);

    /// Ignored for an item that is not running.
    void onOutcome(std::uint32_t item, const ItemOutcome &outcome, TimePoint now);

    /// Marks waiting non-idempotent items until as many as the count, or as the settings allow, are
    /// marked and wait.
    void mark(std::size_t count, TimePoint now);

    /// Moves results to a part that is stored.
    void moveToPart(const ResultPart &part);

    // What a write holds, and what became of it.

    /// The items that are marked as started.
    const std::set<std::uint32_t> &started() const { return m_marked; }
    /// Those of them that are running.
    std::set<std::uint32_t> startedAndRunning() const;
    const ResultMap &results() const { return m_results; }
    const std::vector<ResultPart> &parts() const { return m_parts; }
    /// Grows with each new result or part.
    std::uint64_t generation() const { return m_generation; }
    bool hasUnstoredMarks() const;
    /// The store has confirmed a write with the marks.
    void onStored(const std::set<std::uint32_t> &marks);

    /// Items that wait and whose delay has passed.
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
    void finishUnknown(std::uint32_t item, const std::string &message);
    void setDone(std::uint32_t item);

    SegmentRunSettings m_settings;
    Backoff m_retryBackoff;
    Backoff m_refusalBackoff;
    std::mt19937_64 m_random;
    std::vector<Item> m_items;
    // Ordered by the time from which they may start.
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
