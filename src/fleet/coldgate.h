#pragma once

#include "coord/coordtimes.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace pistachiofall {

/// Bounds what this instance sends to one cold endpoint, so that all instances together stay within
/// the rate that it tolerates without a message between them. Only some instances, chosen alike
/// everywhere, may send to it; each has an equal part of the rate and a burst of one request. With
/// at most half as many of them as the rate, any second holds at most one and a half times the
/// rate.
class ColdGate
{
public:
    /// Open for a first request if this instance is one of the chosen.
    ColdGate(SteadyTime now, double ratePerSecond, const std::string &endpoint,
             const std::string &self, const std::vector<std::string> &instances);

    bool isOpen(SteadyTime now) const;
    /// Counts a request that is sent now.
    void take(SteadyTime now);

private:
    bool m_isChosen = false;
    std::chrono::nanoseconds m_interval{0};
    SteadyTime m_nextOpen;
};

} // namespace pistachiofall
