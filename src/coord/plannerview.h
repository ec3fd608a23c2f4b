#pragma once

#include "coord/coordtimes.h"
#include "coord/holderid.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachiofall {

/// A live instance as the planner sees it.
struct PlannerMember
{
    HolderId id;
    std::string failureDomain;
    bool leaving = false;
};

/// An ended instance, and the time since which this instance counts it as ended.
struct PlannerEnded
{
    std::string instance;
    SteadyTime since;
};

/// The state from which an instance plans a change of the shard table.
struct PlannerView
{
    HolderId self;
    /// All live members, including the instance itself.
    std::vector<PlannerMember> members;
    /// Ended instances (EndedInstances). A member that is one of them gets no places.
    std::vector<PlannerEnded> ended;
    /// Shards with a place that this instance holds but does not use yet, under the table that the
    /// plan is made from (ShardRateLimiter::pendingTakeovers).
    std::vector<std::uint32_t> pendingTakeovers;
    /// The number of shards of a new table.
    std::size_t shardCount = 256;
    /// When this process started.
    SteadyTime startedAt;
    /// When this process learned of the newest table.
    SteadyTime tableSince;
    /// When this process last released places to a rebalancer under the newest table.
    std::optional<SteadyTime> releasedAt = std::nullopt;
    SteadyTime now;
};

} // namespace pistachiofall
