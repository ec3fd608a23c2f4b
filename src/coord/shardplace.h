#pragma once

#include "coord/holderid.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace pistachiofall {

/// One of the two places of a shard. Each place is assigned to one holder.
struct ShardPlace
{
    HolderId holder;
    /// The epoch of the change that assigned the place to the holder. It shows a holder that lost
    /// the place and got it back between two tables that it read that its buckets are stale.
    std::uint64_t assignedEpoch = 0;
    /// Whether the place was taken over without a release by the former holder. The holder then
    /// waits TakeoverDelay before it uses the place.
    bool takenOver = false;

    bool operator==(const ShardPlace &) const = default;
};

inline constexpr std::size_t PlaceCount = 2;
/// The holder of the first place also owns the endpoints and coordinates the jobs of the shard.
inline constexpr std::size_t FirstPlace = 0;
inline constexpr std::size_t SecondPlace = 1;

/// The holders of one shard. Both places may name the same holder.
using Shard = std::array<ShardPlace, PlaceCount>;

} // namespace pistachiofall
