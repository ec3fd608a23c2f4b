#include "fleet/watchfreshness.h"

#include <algorithm>

namespace pistachiofall {

namespace {

using std::chrono::milliseconds;

// The parts of the bound after which the first instance asks, and by which the others follow at the
// latest. The rest is for the answer, for a second question on a new connection and for telling
// the peers.
constexpr double AskAfter = 0.4;
constexpr double RankRange = 0.2;
// By then the result of the instance with the rank below has arrived with its report.
constexpr milliseconds RankStep{150};
// The reported age before the first response of the store.
constexpr milliseconds UnconfirmedAge = std::chrono::hours{24};

milliseconds part(milliseconds whole, double fraction)
{
    return std::chrono::duration_cast<milliseconds>(whole * fraction);
}

} // namespace

WatchFreshness::WatchFreshness(milliseconds changeBound)
    : m_changeBound(changeBound)
{ }

void WatchFreshness::recordResponse(std::uint64_t revision, SteadyTime asOf)
{
    m_knownRevision = std::max(m_knownRevision, revision);
    m_confirmedAt = std::max(m_confirmedAt.value_or(asOf), asOf);
    if (m_knownRevision >= m_newestPeerChange)
        m_behindSince.reset();
}

void WatchFreshness::recordChange(std::uint64_t revision)
{
    m_newestChange = std::max(m_newestChange, revision);
}

void WatchFreshness::recordPeer(const WatchMark &mark, SteadyTime now)
{
    if (mark.newestChange > m_knownRevision) {
        m_newestPeerChange = std::max(m_newestPeerChange, mark.newestChange);
        if (!m_behindSince)
            m_behindSince = now;
        return;
    }
    // This instance knows every change that the peer knows, so what the store confirmed to the peer
    // holds here as well.
    if (m_confirmedAt)
        m_confirmedAt = std::max(*m_confirmedAt, now - mark.confirmedAge);
}

WatchMark WatchFreshness::mark(SteadyTime now) const
{
    if (!m_confirmedAt)
        return {m_newestChange, UnconfirmedAge};
    const auto age = std::chrono::duration_cast<milliseconds>(now - *m_confirmedAt);
    return {m_newestChange, std::max(milliseconds{0}, age)};
}

bool WatchFreshness::shouldAsk(std::size_t rank, SteadyTime now) const
{
    if (!m_confirmedAt)
        return false;
    const milliseconds range = part(m_changeBound, RankRange);
    const auto steps = static_cast<milliseconds::rep>(std::min<std::size_t>(rank, 1000));
    const milliseconds delay = std::min(range, RankStep * steps);
    return now - *m_confirmedAt >= part(m_changeBound, AskAfter) + delay;
}

bool WatchFreshness::isBehind(milliseconds grace, SteadyTime now) const
{
    return m_behindSince && now - *m_behindSince >= grace;
}

void WatchFreshness::recordRestart(SteadyTime now)
{
    if (m_behindSince)
        m_behindSince = now;
}

} // namespace pistachiofall
