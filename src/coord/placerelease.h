#pragma once

#include "coord/placemove.h"
#include "coord/shardtable.h"

#include <cstdint>
#include <span>
#include <vector>

namespace pistachiofall {

/// The number of a place in messages between instances: PlaceCount times the shard plus the place.
using PlaceNumber = std::uint32_t;

PlaceNumber placeNumber(std::uint32_t shard, std::size_t place);

/// Returns the shard of a place number.
std::uint32_t shardOfPlace(PlaceNumber number);

/// Returns which of the requested places the holder may release under the table: those that it
/// holds, in shards without a pending takeover. The former holder of a place with a pending
/// takeover may still grant, so the place must not move as a released one. All other numbers are
/// left out.
std::vector<PlaceNumber> releasablePlaces(const ShardTable &table, const HolderId &holder,
                                          std::span<const PlaceNumber> requested,
                                          std::span<const std::uint32_t> pendingTakeovers);

/// Returns the moves from the holder whose places are among the released ones.
std::vector<PlaceMove> releasedMoves(std::span<const PlaceMove> moves,
                                     const HolderId &currentHolder,
                                     std::span<const PlaceNumber> released);

/// Returns the next table with the moves applied. In the given table each moved place must still
/// belong to the holder that it moves from.
ShardTable tableWithMoves(const ShardTable &table, std::span<const PlaceMove> moves);

} // namespace pistachiofall
