#pragma once

#include "coord/coordtimes.h"

#include <chrono>

namespace pistachiofall {

/// Tells a stream of events that goes on from one that has stalled. Bytes alone are no progress: a
/// stalled endpoint may send some now and then without ever completing an event, which no timeout
/// between two reads notices.
class EventProgress
{
public:
    /// The times allowed up to the first event, and from each event to the next one.
    EventProgress(SteadyTime begin, std::chrono::milliseconds firstEvent,
                  std::chrono::milliseconds gap)
        : m_deadline(begin + firstEvent)
        , m_gap(gap)
    { }

    void recordEvent(SteadyTime now) { m_deadline = now + m_gap; }
    bool isStalled(SteadyTime now) const { return now > m_deadline; }

private:
    SteadyTime m_deadline;
    std::chrono::milliseconds m_gap;
};

} // namespace pistachiofall
