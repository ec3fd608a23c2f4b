#pragma once

#include "coord/coordtimes.h"

#include <chrono>
#include <cstdint>
#include <tuple>

namespace pistachiofall {

/// The place of a batch item among those that want a slot. The lowest one starts first, and the
/// highest one is preempted first.
struct ItemRank
{
    /// The item can not be expected to be done in time, even if it runs without interruption.
    bool isLate = false;
    std::chrono::milliseconds remaining{0};
    SteadyTime due{};

    bool operator<(const ItemRank &other) const
    {
        return std::tie(isLate, remaining, due)
                < std::tie(other.isLate, other.remaining, other.due);
    }
};

/// Decides in which order batch items get slots when there are fewer slots than items, so that as
/// many as possible are done in time. Items with less work left go first: when each item gets some
/// of the slots, all of them are late. Items that can no longer be in time run in what is left.
///
/// Not thread safe.
class ItemOrder
{
public:
    /// An item has been done with this number of events, in this time at endpoints.
    void recordFinished(std::uint64_t events, std::chrono::milliseconds runTime);

    /// Returns how long an item with the given number of events still has to run, from the size and
    /// the pace of those finished lately; zero before the first of them.
    std::chrono::milliseconds expectedRemaining(std::uint64_t eventsDone) const;

    ItemRank rank(SteadyTime due, std::uint64_t eventsDone, SteadyTime now) const;

    /// Whether an item of that rank must start soon to be in time even if it is interrupted once.
    static bool isUrgent(const ItemRank &rank, SteadyTime now);

private:
    double m_meanEvents = 0;
    std::chrono::duration<double, std::milli> m_meanTimePerEvent{0};
};

} // namespace pistachiofall
