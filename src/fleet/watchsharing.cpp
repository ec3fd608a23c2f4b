#include "fleet/watchsharing.h"

namespace pistachiofall {

bool WatchSharing::shouldFollow(std::size_t rank, std::size_t groupSize, SteadyTime now) const
{
    return groupSize >= MinGroupSize && rank >= WatchersPerGroup && now >= m_ownWatchUntil;
}

bool WatchSharing::shouldFetch(bool isBehind, SteadyTime now) const
{
    const auto sinceLast = now - m_lastFetch;
    return sinceLast >= RefreshInterval || (isBehind && sinceLast >= FetchInterval);
}

void WatchSharing::recordFetched(SteadyTime now)
{
    m_lastFetch = now;
}

void WatchSharing::recordFailed(SteadyTime now)
{
    m_lastFetch = now;
    m_ownWatchUntil = now + OwnWatchTime;
}

} // namespace pistachiofall
