#include "fleet/coldgate.h"

#include "base/stablehash.h"

#include <algorithm>

namespace pistachiofall {

ColdGate::ColdGate(SteadyTime now, double ratePerSecond, const std::string &endpoint,
                   const std::string &self, const std::vector<std::string> &instances)
{
    const auto most = static_cast<std::size_t>(std::max(1.0, ratePerSecond / 2));
    const std::size_t chosen = std::clamp<std::size_t>(instances.size(), 1, most);
    const auto ownRank = rendezvousRank(endpoint, self);
    const auto before =
            std::count_if(instances.begin(), instances.end(), [&](const std::string &instance) {
                return instance != self && rendezvousRank(endpoint, instance) < ownRank;
            });
    m_isChosen = static_cast<std::size_t>(before) < chosen;
    const std::chrono::duration<double> interval(static_cast<double>(chosen) / ratePerSecond);
    m_interval = std::chrono::duration_cast<std::chrono::nanoseconds>(interval);
    m_nextOpen = now;
}

bool ColdGate::isOpen(SteadyTime now) const
{
    return m_isChosen && now >= m_nextOpen;
}

void ColdGate::take(SteadyTime now)
{
    m_nextOpen = now + m_interval;
}

} // namespace pistachiofall
