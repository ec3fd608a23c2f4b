#include "fleet/itemorder.h"

#include <algorithm>

namespace pistachiofall {

namespace {

// The weight of the last finished item in the moving averages.
constexpr double FinishedWeight = 0.1;
// An item that is longer than the mean is taken to have at least this part of the mean left.
constexpr double MinRemainingPart = 0.1;
// An item is urgent when it could not run this often again before it is due, with the slack for
// the time that it waits for a slot.
constexpr int UrgentRuns = 2;
constexpr std::chrono::milliseconds UrgentSlack{2000};

} // namespace

void ItemOrder::recordFinished(std::uint64_t events, std::chrono::milliseconds runTime)
{
    if (events == 0)
        return;
    const auto size = static_cast<double>(events);
    const std::chrono::duration<double, std::milli> timePerEvent = runTime / size;
    const double weight = m_meanEvents == 0 ? 1 : FinishedWeight;
    m_meanEvents += (size - m_meanEvents) * weight;
    m_meanTimePerEvent += (timePerEvent - m_meanTimePerEvent) * weight;
}

std::chrono::milliseconds ItemOrder::expectedRemaining(std::uint64_t eventsDone) const
{
    const double left = std::max(m_meanEvents - static_cast<double>(eventsDone),
                                 m_meanEvents * MinRemainingPart);
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_meanTimePerEvent * left);
}

bool ItemOrder::isUrgent(const ItemRank &rank, SteadyTime now)
{
    const auto slack = rank.due - now - rank.remaining;
    return !rank.isLate && slack < rank.remaining * UrgentRuns + UrgentSlack;
}

ItemRank ItemOrder::rank(SteadyTime due, std::uint64_t eventsDone, SteadyTime now) const
{
    const auto remaining = expectedRemaining(eventsDone);
    return {now + remaining > due, remaining, due};
}

} // namespace pistachiofall
