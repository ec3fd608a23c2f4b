#pragma once

#include "coord/coordtimes.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace pistachiofall {

/// The failures of an endpoint's process in the recent past, by the lower half of
/// EndpointSpeeds::keyOf().
struct FailureMark
{
    std::uint32_t endpoint = 0;
    std::uint32_t count = 0;
};

/// Counts the failures of endpoints over the whole fleet. The load that it answers: an endpoint
/// that fails a part of its requests at once has free slots all the time and attracts more of them,
/// and no single instance sends it enough to notice. Each report replaces what a peer has told.
///
/// Not thread safe.
class RecentFailures
{
public:
    void record(std::uint32_t endpoint, SteadyTime now);
    /// Forgets failures that are older than the memory.
    void removeOld(SteadyTime now);
    /// The failures that this instance has seen within the memory.
    std::vector<FailureMark> own(SteadyTime now);
    void setPeer(const std::string &peer, const std::vector<FailureMark> &marks);

    /// The factor by which the weight of an endpoint shrinks, from 1 without failures to near 0.
    double weight(std::uint32_t endpoint) const;

    static constexpr std::chrono::milliseconds Memory{3000};

private:
    std::map<std::uint32_t, std::deque<SteadyTime>> m_own;
    std::map<std::string, std::vector<FailureMark>> m_byPeer;
    std::map<std::uint32_t, std::uint32_t> m_peerTotals;
};

} // namespace pistachiofall
