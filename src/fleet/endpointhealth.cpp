#include "fleet/endpointhealth.h"

#include <algorithm>

namespace pistachiofall {

namespace {

// Half of the time-to-first-token objective of an interactive route, so that a caller loses one
// attempt and not two.
constexpr std::chrono::milliseconds InitialBackoff{150};
// An endpoint that recovers is used again within two seconds.
constexpr std::chrono::milliseconds MaxBackoff{2000};
constexpr int MaxBackoffDoublings = 4;

} // namespace

void EndpointHealth::recordFailure(TimePoint now)
{
    // Requests that were in flight together and fail together count as one failure.
    if (now < m_backoffUntil)
        return;
    const auto backoff = InitialBackoff
            * (1U << static_cast<unsigned>(std::min(m_consecutiveFailures, MaxBackoffDoublings)));
    ++m_consecutiveFailures;
    m_backoffUntil = now + std::min<std::chrono::milliseconds>(backoff, MaxBackoff);
}

void EndpointHealth::recordSuccess()
{
    m_consecutiveFailures = 0;
    m_backoffUntil = {};
}

bool EndpointHealth::isUsable(TimePoint now, int inFlight) const
{
    if (m_consecutiveFailures == 0)
        return true;
    return now >= m_backoffUntil && inFlight == 0;
}

} // namespace pistachiofall
