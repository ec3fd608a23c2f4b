#pragma once

#include "coord/coordtimes.h"
#include "coord/shardplace.h"

#include <array>

namespace pistachiofall {

/// The times from which a holder may use each of the places of a shard; NeverUsed for a place that
/// it does not hold.
using PlaceStarts = std::array<SteadyTime, PlaceCount>;
inline constexpr SteadyTime NeverUsed = SteadyTime::max();

/// The times from which a holder has one half and both halves of an organisation's bucket.
struct ShareTimes
{
    SteadyTime oneHalf = NeverUsed;
    SteadyTime bothHalves = NeverUsed;

    bool operator==(const ShareTimes &) const = default;
};

/// Returns the share of an organisation's bucket that belongs to the held places. The first half
/// always belongs to the first place. The second half belongs to the first place if the bucket is
/// undivided and to the second place otherwise. The other holder may not have learned of a change
/// of the division yet, so a holder of only one place uses the second half only DivisionChangeDelay
/// after it learned of the division.
ShareTimes shareTimes(const PlaceStarts &starts, bool isUndivided, SteadyTime knownSince,
                      SteadyTime divisionKnownSince);

/// Returns the number of halves that the holder has at the time: 0, 1 or 2.
inline int halvesAt(const ShareTimes &times, SteadyTime now)
{
    return (now >= times.oneHalf ? 1 : 0) + (now >= times.bothHalves ? 1 : 0);
}

} // namespace pistachiofall
