#pragma once

#include "coord/coordtimes.h"

#include <chrono>

namespace pistachiofall {

/// What online requests do at the endpoints of one service.
struct OnlineLoad
{
    /// Requests that run at endpoints or wait for one, over the whole fleet.
    int requests = 0;
    /// Endpoints that serve them.
    int endpoints = 0;
    /// The mean time for which a request occupies its slot.
    std::chrono::milliseconds meanServiceTime{0};
};

/// Decides how many slots of each endpoint batch items leave free, for one service. A batch item
/// that fills an endpoint is preempted by the next online request and has its prompt processed
/// again elsewhere, so that under a long backlog of batch work the endpoints process prompts
/// instead of items. The margin therefore covers the online requests that other instances may place
/// while this one does not know of them yet, with their spread, and grows for a while with each
/// preemption that happens all the same.
///
/// Not thread safe.
class BatchMargin
{
public:
    /// Batch items of this instance have been preempted.
    void recordPreemptions(int count, SteadyTime now);

    /// Returns the slots to leave free at an endpoint whose usage by other instances is known with
    /// the given delay; at least one.
    int slotsToLeaveFree(const OnlineLoad &load, std::chrono::milliseconds usageAge,
                         SteadyTime now) const;

private:
    double recentPreemptions(SteadyTime now) const;

    /// An exponentially decaying count, as of the last preemption.
    double m_preemptions = 0;
    SteadyTime m_lastPreemption{};
};

} // namespace pistachiofall
