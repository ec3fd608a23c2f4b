#pragma once

#include "coord/placemove.h"
#include "coord/shardtable.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace pistachiofall {

/// Why the shard table changes.
enum class TableChangeReason {
    /// The instance leaves the fleet and hands over its places.
    Leaving,
    /// The instance reassigns the places of its own former process to itself.
    OwnRestart,
    /// The places of ended instances are assigned to other instances.
    Takeover,
    /// Places move to instances that have fewer, or to separate failure domains.
    Rebalance,
    /// The instance released places to a rebalancer, and no newer table followed. A table with the
    /// next epoch makes the rebalancer's conditional write fail, so that the instance may grant
    /// again.
    UnusedRelease,
};

/// No change is needed, or none may be made now.
struct KeepTable
{ };

/// There is no table yet. The caller creates the object, which fails if another instance did so
/// first.
struct CreateTable
{
    ShardTable table;
};

/// The caller replaces the object on condition that it is still the one that the plan was made
/// from. Before that it stops granting for stopShards (ShardRateLimiter::pauseShards) and waits
/// until its last grants are due.
struct ChangeTable
{
    ShardTable table;
    std::vector<std::uint32_t> stopShards;
    TableChangeReason reason = TableChangeReason::Takeover;
};

/// The caller, as the rebalancer, asks the current holders to release the places
/// (ShardRateLimiter::releaseShards). The moves that they agree to are written as one change of the
/// table (tableWithMoves), on condition that the object is still the one that the plan was made
/// from. No two moves are in the same shard.
struct RequestReleases
{
    std::vector<PlaceMove> moves;
};

using TablePlan = std::variant<KeepTable, CreateTable, ChangeTable, RequestReleases>;

} // namespace pistachiofall
