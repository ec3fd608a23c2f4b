#include "coord/heldshards.h"

#include <cstddef>

namespace pistachiofall::detail {

namespace {

bool isKept(const HeldShard &before, const HeldShard &after, std::size_t place)
{
    return before.starts[place] != NeverUsed && after.starts[place] != NeverUsed
            && before.assignedEpochs[place] == after.assignedEpochs[place];
}

} // namespace

HeldShards nextHeldShards(const HeldShards &before, const ShardTable &table, const HolderId &self,
                          SteadyTime now)
{
    HeldShards next{table.epoch, std::vector<HeldShard>(table.shards.size())};
    const bool hasSameShards = before.shards.size() == table.shards.size();
    for (std::size_t index = 0; index < table.shards.size(); ++index) {
        HeldShard &shard = next.shards[index];
        for (std::size_t place = 0; place < PlaceCount; ++place) {
            const ShardPlace &assigned = table.shards[index][place];
            if (assigned.holder != self)
                continue;
            shard.assignedEpochs[place] = assigned.assignedEpoch;
            shard.starts[place] = assigned.takenOver ? now + TakeoverDelay : now;
            if (hasSameShards && isKept(before.shards[index], shard, place))
                shard.starts[place] = before.shards[index].starts[place];
        }
    }
    return next;
}

PlaceStarts keptStarts(const HeldShard &before, const HeldShard &after)
{
    PlaceStarts starts{NeverUsed, NeverUsed};
    for (std::size_t place = 0; place < PlaceCount; ++place) {
        if (isKept(before, after, place))
            starts[place] = after.starts[place];
    }
    return starts;
}

} // namespace pistachiofall::detail
