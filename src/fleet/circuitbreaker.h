#pragma once

#include "coord/coordtimes.h"

#include <chrono>

namespace pistachiofall {

/// Decides whether a call to a service that may be down is worth sending. After several failures in
/// a row only one call in a while is sent, to find out whether the service is back; the others fail
/// at once. Without it, everything that waits for the service repeats its calls at its own
/// interval, so that an outage causes more calls than a day without one, and callers wait for
/// answers that can not come.
///
/// Not thread safe.
class CircuitBreaker
{
public:
    /// Whether to send a call now. A call that is allowed counts as sent.
    bool allowCall(SteadyTime now);

    void recordSuccess();
    void recordFailure(SteadyTime now);

    bool isOpen() const;
    /// The time until the next call is allowed; zero if that is now.
    std::chrono::milliseconds timeToNextCall(SteadyTime now) const;

private:
    int m_failuresInRow = 0;
    SteadyTime m_nextCall{};
};

} // namespace pistachiofall
