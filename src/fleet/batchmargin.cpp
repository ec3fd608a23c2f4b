#include "fleet/batchmargin.h"

#include <algorithm>
#include <cmath>

namespace pistachiofall {

namespace {

using Seconds = std::chrono::duration<double>;

// Standard deviations of the number of arrivals that the margin covers.
constexpr double CoveredDeviations = 2;
constexpr double MinMargin = 1;
// The number of recent preemptions for which the margin grows by one slot.
constexpr double PreemptionsPerSlot = 8;
constexpr double MaxSlotsForPreemptions = 2;
// A preemption counts in full when it happens and for 1/e after this time.
constexpr Seconds PreemptionMemory{2};

// The online requests that arrive at one endpoint during the time, if they arrive independently.
double expectedArrivals(const OnlineLoad &load, Seconds time)
{
    const Seconds serviceTime = load.meanServiceTime;
    if (load.endpoints <= 0 || serviceTime.count() <= 0)
        return 0;
    return static_cast<double>(load.requests) / load.endpoints * (time / serviceTime);
}

} // namespace

void BatchMargin::recordPreemptions(int count, SteadyTime now)
{
    m_preemptions = recentPreemptions(now) + count;
    m_lastPreemption = now;
}

double BatchMargin::recentPreemptions(SteadyTime now) const
{
    const Seconds age = now - m_lastPreemption;
    return m_preemptions * std::exp(-age / PreemptionMemory);
}

int BatchMargin::slotsToLeaveFree(const OnlineLoad &load, std::chrono::milliseconds usageAge,
                                  SteadyTime now) const
{
    const double arrivals = expectedArrivals(load, usageAge);
    const double covered =
            std::max(MinMargin, std::ceil(arrivals + CoveredDeviations * std::sqrt(arrivals)));
    const double added =
            std::min(MaxSlotsForPreemptions, recentPreemptions(now) / PreemptionsPerSlot);
    return static_cast<int>(covered + std::floor(added));
}

} // namespace pistachiofall
