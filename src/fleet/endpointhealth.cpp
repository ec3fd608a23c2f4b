#include "fleet/endpointhealth.h"

#include <algorithm>

namespace pistachiofall {

namespace {

// Half of the first token objective of an interactive route: a caller loses one try, not two.
constexpr std::chrono::milliseconds FirstAvoidance{150};
// A server that comes back is found again within two seconds.
constexpr std::chrono::milliseconds LongestAvoidance{2000};
constexpr int MostDoublings = 4;

} // namespace

void EndpointHealth::noteFailure(TimePoint now)
{
    // Requests that fail together are one failure.
    if (now < m_avoidedUntil)
        return;
    const auto doubled = FirstAvoidance
            * (1U << static_cast<unsigned>(std::min(m_failuresInRow, MostDoublings)));
    ++m_failuresInRow;
    m_avoidedUntil = now + std::min<std::chrono::milliseconds>(doubled, LongestAvoidance);
}

void EndpointHealth::noteSuccess()
{
    m_failuresInRow = 0;
    m_avoidedUntil = {};
}

bool EndpointHealth::isUsable(TimePoint now, int inFlight) const
{
    if (m_failuresInRow == 0)
        return true;
    return now >= m_avoidedUntil && inFlight == 0;
}

} // namespace pistachiofall
