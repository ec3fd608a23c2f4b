#include "coord/shardtable.h"

#include "base/stablehash.h"

namespace pistachiofall {

std::uint32_t shardOf(std::string_view name, std::size_t shardCount)
{
    return static_cast<std::uint32_t>(stableHash(name) % shardCount);
}

const Shard &shardFor(const ShardTable &table, std::string_view name)
{
    return table.shards[shardOf(name, table.shards.size())];
}

Holdings holdingsOf(const ShardTable &table, const HolderId &holder)
{
    Holdings holdings;
    for (std::uint32_t shard = 0; shard < table.shards.size(); ++shard) {
        for (std::size_t place = 0; place < PlaceCount; ++place) {
            if (table.shards[shard][place].holder == holder)
                holdings[place].push_back(shard);
        }
    }
    return holdings;
}

} // namespace pistachiofall
