#pragma once

#include "coord/coordtimes.h"
#include "coord/holderid.h"
#include "coord/shardtable.h"
#include "coord/sharetimes.h"

#include <array>
#include <cstdint>
#include <vector>

namespace pistachiofall::detail {

/// The places of one shard that this process holds.
struct HeldShard
{
    PlaceStarts starts{NeverUsed, NeverUsed};
    std::array<std::uint64_t, PlaceCount> assignedEpochs{};
    /// Whether granting is stopped, until a table of a newer epoch is set or the shard is resumed.
    bool isPaused = false;
};

/// The places of all shards that this process holds, at one epoch of the table.
struct HeldShards
{
    std::uint64_t epoch = 0;
    std::vector<HeldShard> shards;
};

/// Returns the places held under a new table. Places that were held without interruption keep their
/// start time. Gained ones start now, or after TakeoverDelay if they were taken over.
HeldShards nextHeldShards(const HeldShards &before, const ShardTable &table, const HolderId &self,
                          SteadyTime now);

/// Returns the start times of the places that were held without interruption from before to after;
/// NeverUsed for the others.
PlaceStarts keptStarts(const HeldShard &before, const HeldShard &after);

} // namespace pistachiofall::detail
