#pragma once

#include "coord/coordtimes.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace pistachiofall {

/// Limits the requests that this instance sends to one cold endpoint, so that all instances
/// together stay within the rate that the endpoint tolerates, without exchanging messages. Only a
/// subset of the instances, which is selected by a hash and therefore the same
/// everywhere, may send to it; each has an equal part of the rate and a burst of one request. With
/// at most half as many of them as the rate, any second holds at most one and a half times the
/// rate.
class ColdStartLimiter
{
public:
    /// Allows a first request at once if this instance belongs to the subset.
    ColdStartLimiter(SteadyTime now, double ratePerSecond, const std::string &endpoint,
                     const std::string &self, const std::vector<std::string> &instances);

    bool isAllowed(SteadyTime now) const;
    /// Records a request that is sent now.
    void record(SteadyTime now);

private:
    bool m_isSender = false;
    std::chrono::nanoseconds m_interval{0};
    SteadyTime m_nextAllowed;
};

} // namespace pistachiofall
