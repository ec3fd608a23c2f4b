#include "fleet/recentfailures.h"

#include <algorithm>

namespace pistachiofall {

namespace {

// A single failure is no reason to avoid an endpoint: its request may be the cause.
constexpr std::uint32_t ToleratedFailures = 1;

} // namespace

void RecentFailures::record(std::uint32_t endpoint, SteadyTime now)
{
    removeOld(now);
    m_own[endpoint].push_back(now);
}

void RecentFailures::removeOld(SteadyTime now)
{
    for (auto &[endpoint, times] : m_own) {
        while (!times.empty() && now - times.front() > Memory)
            times.pop_front();
    }
    std::erase_if(m_own, [](const auto &each) { return each.second.empty(); });
}

std::vector<FailureMark> RecentFailures::own(SteadyTime now)
{
    removeOld(now);
    std::vector<FailureMark> marks;
    for (const auto &[endpoint, times] : m_own)
        marks.push_back({endpoint, static_cast<std::uint32_t>(times.size())});
    return marks;
}

void RecentFailures::setPeer(const std::string &peer, const std::vector<FailureMark> &marks)
{
    auto &known = m_byPeer[peer];
    for (const FailureMark &mark : known) {
        std::uint32_t &total = m_peerTotals[mark.endpoint];
        total -= std::min(total, mark.count);
        if (total == 0)
            m_peerTotals.erase(mark.endpoint);
    }
    known = marks;
    for (const FailureMark &mark : known)
        m_peerTotals[mark.endpoint] += mark.count;
    if (known.empty())
        m_byPeer.erase(peer);
}

double RecentFailures::weight(std::uint32_t endpoint) const
{
    std::uint32_t count = 0;
    if (const auto own = m_own.find(endpoint); own != m_own.end())
        count += static_cast<std::uint32_t>(own->second.size());
    if (const auto peers = m_peerTotals.find(endpoint); peers != m_peerTotals.end())
        count += peers->second;
    const double excess = count > ToleratedFailures ? count - ToleratedFailures : 0;
    return 1 / ((1 + excess) * (1 + excess));
}

} // namespace pistachiofall
