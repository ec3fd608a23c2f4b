#pragma once

#include "coord/coordtimes.h"

#include <chrono>

namespace pistachiofall {

/// The interval in which the requesting instance may use a grant, by its own clock.
struct GrantWindow
{
    SteadyTime from;
    SteadyTime until;
};

/// Returns the window of a grant that becomes due after the wait. The holder answered at an unknown
/// time between requestSentAt and answerReceivedAt. The window therefore opens when the wait has
/// passed since the answer arrived, and closes GrantLifetime after the earliest possible due time.
/// A requesting instance that was paused in between gets a window that has already closed.
inline GrantWindow grantWindow(SteadyTime requestSentAt, SteadyTime answerReceivedAt,
                               std::chrono::milliseconds wait)
{
    return {answerReceivedAt + wait, requestSentAt + wait + GrantLifetime};
}

/// Returns whether the grant may be used now. Without this check an instance that was paused would
/// use an old grant in a later interval.
inline bool isUsable(const GrantWindow &window, SteadyTime now)
{
    return now >= window.from && now <= window.until;
}

} // namespace pistachiofall
