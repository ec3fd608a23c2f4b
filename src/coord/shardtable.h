#pragma once

#include "coord/holderid.h"
#include "coord/shardplace.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace pistachiofall {

/// The assignment of shards to instances at one epoch. The number of shards is fixed when the table
/// is created; otherwise names would move between shards whose holders have not stopped granting.
struct ShardTable
{
    std::uint64_t epoch = 0;
    std::vector<Shard> shards;

    bool operator==(const ShardTable &) const = default;
};

/// The shards that a process holds, indexed by place.
using Holdings = std::array<std::vector<std::uint32_t>, PlaceCount>;

/// Returns the shard of an organisation, endpoint or job by the stable hash of its name, 0 <= shard
/// < shardCount.
std::uint32_t shardOf(std::string_view name, std::size_t shardCount);

/// Returns the shard of a name, with its two holders. The table must have at least one shard.
const Shard &shardFor(const ShardTable &table, std::string_view name);

Holdings holdingsOf(const ShardTable &table, const HolderId &holder);

} // namespace pistachiofall
