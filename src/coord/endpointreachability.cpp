#include "coord/endpointreachability.h"

#include <algorithm>

namespace pistachiofall {

bool EndpointReachability::maySend(TimePoint now) const
{
    return !isPaused() || now >= m_nextProbe;
}

void EndpointReachability::onSent(std::uint64_t slotId, TimePoint now)
{
    if (!isPaused())
        return;
    m_probe = slotId;
    // Allows another probe if the outcome of this one is lost.
    m_nextProbe = now + m_pause;
}

void EndpointReachability::onConnectFailed(std::uint64_t slotId, TimePoint now)
{
    if (!isPaused()) {
        if (++m_failures < FailuresUntilPause)
            return;
        m_pause = FirstPause;
    } else if (m_probe == slotId) {
        m_pause = std::min(2 * m_pause, LongestPause);
    } else {
        return;
    }
    m_probe.reset();
    m_nextProbe = now + m_pause;
}

void EndpointReachability::onReached()
{
    *this = EndpointReachability();
}

} // namespace pistachiofall
