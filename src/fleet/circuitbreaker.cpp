#include "fleet/circuitbreaker.h"

#include <algorithm>

namespace pistachiofall {

namespace {

using std::chrono::milliseconds;

// A single lost answer or an answer that comes late is not an outage.
constexpr int FailuresBeforeOpen = 3;
constexpr milliseconds MinProbeInterval{100};
// Short against the time within which an instance must act again after an outage.
constexpr milliseconds MaxProbeInterval{400};

} // namespace

bool CircuitBreaker::isOpen() const
{
    return m_failuresInRow >= FailuresBeforeOpen;
}

bool CircuitBreaker::allowCall(SteadyTime now)
{
    if (!isOpen())
        return true;
    if (now < m_nextCall)
        return false;
    // Until the answer to this call, no other one is due.
    m_nextCall = now + MaxProbeInterval;
    return true;
}

void CircuitBreaker::recordSuccess()
{
    m_failuresInRow = 0;
}

void CircuitBreaker::recordFailure(SteadyTime now)
{
    ++m_failuresInRow;
    if (!isOpen())
        return;
    const int doublings = std::min(m_failuresInRow - FailuresBeforeOpen, 2);
    const milliseconds interval = MinProbeInterval * (1U << static_cast<unsigned>(doublings));
    m_nextCall = std::max(m_nextCall, now + std::min<milliseconds>(interval, MaxProbeInterval));
}

milliseconds CircuitBreaker::timeToNextCall(SteadyTime now) const
{
    if (!isOpen() || now >= m_nextCall)
        return milliseconds{0};
    return std::chrono::ceil<milliseconds>(m_nextCall - now);
}

} // namespace pistachiofall
