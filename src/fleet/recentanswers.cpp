#include "fleet/recentanswers.h"

namespace pistachiofall {

void RecentAnswers::record(PromptPart part, SteadyTime time)
{
    const auto [place, isNew] = m_times.try_emplace(part, time);
    if (!isNew && place->second >= time)
        return;
    if (!isNew)
        m_order.erase({place->second, part});
    place->second = time;
    m_order.insert({time, part});
    if (m_times.size() > MaxParts) {
        m_times.erase(m_order.begin()->second);
        m_order.erase(m_order.begin());
    }
}

std::optional<SteadyTime> RecentAnswers::find(PromptPart part) const
{
    const auto found = m_times.find(part);
    return found == m_times.end() ? std::nullopt : std::optional<SteadyTime>(found->second);
}

void RecentAnswers::removeBefore(SteadyTime time)
{
    while (!m_order.empty() && m_order.begin()->first < time) {
        m_times.erase(m_order.begin()->second);
        m_order.erase(m_order.begin());
    }
}

} // namespace pistachiofall
