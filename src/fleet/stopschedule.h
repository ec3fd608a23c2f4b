#pragma once

#include "coord/coordtimes.h"

#include <chrono>

namespace pistachiofall {

/// Decides which requests an instance still takes after it was asked to stop. The load balancer
/// goes on sending for a while and may pick an instance again, so requests are taken as usual until
/// it has noticed. A request that comes later, on a connection that is still open, is taken only if
/// its deadline ends before the instance does: it would be cut otherwise.
class StopSchedule
{
public:
    /// The process is killed when the grace period after the begin is over.
    StopSchedule(SteadyTime begin, std::chrono::milliseconds grace);

    /// Until then new connections are accepted.
    SteadyTime acceptsUntil() const { return m_acceptsUntil; }
    /// By then each request is answered; those that are not are ended with an error.
    SteadyTime answersUntil() const { return m_answersUntil; }
    /// By then the process has ended by itself.
    SteadyTime end() const { return m_end; }

    /// Whether a request with that deadline is passed on now.
    bool mayPassOn(SteadyTime now, SteadyTime deadline) const
    {
        return now < m_acceptsUntil || deadline <= m_answersUntil;
    }

private:
    SteadyTime m_acceptsUntil;
    SteadyTime m_answersUntil;
    SteadyTime m_end;
};

} // namespace pistachiofall
