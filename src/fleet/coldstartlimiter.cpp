#include "fleet/coldstartlimiter.h"

#include "base/stablehash.h"

#include <algorithm>

namespace pistachiofall {

ColdStartLimiter::ColdStartLimiter(SteadyTime now, double ratePerSecond,
                                   const std::string &endpoint, const std::string &self,
                                   const std::vector<std::string> &instances)
{
    const auto maxSenders = static_cast<std::size_t>(std::max(1.0, ratePerSecond / 2));
    const std::size_t senders = std::clamp<std::size_t>(instances.size(), 1, maxSenders);
    const auto ownRank = rendezvousRank(endpoint, self);
    const auto lowerRanked =
            std::count_if(instances.begin(), instances.end(), [&](const std::string &instance) {
                return instance != self && rendezvousRank(endpoint, instance) < ownRank;
            });
    m_isSender = static_cast<std::size_t>(lowerRanked) < senders;
    const std::chrono::duration<double> interval(static_cast<double>(senders) / ratePerSecond);
    m_interval = std::chrono::duration_cast<std::chrono::nanoseconds>(interval);
    m_nextAllowed = now;
}

bool ColdStartLimiter::isAllowed(SteadyTime now) const
{
    return m_isSender && now >= m_nextAllowed;
}

void ColdStartLimiter::record(SteadyTime now)
{
    m_nextAllowed = now + m_interval;
}

} // namespace pistachiofall
