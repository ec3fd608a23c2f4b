#include "coord/placerelease.h"

#include <algorithm>
#include <iterator>

namespace pistachiofall {

PlaceNumber placeNumber(std::uint32_t shard, std::size_t place)
{
    return static_cast<PlaceNumber>(shard * PlaceCount + place);
}

std::uint32_t shardOfPlace(PlaceNumber number)
{
    return static_cast<std::uint32_t>(number / PlaceCount);
}

std::vector<PlaceNumber> releasablePlaces(const ShardTable &table, const HolderId &holder,
                                          std::span<const PlaceNumber> requested,
                                          std::span<const std::uint32_t> pendingTakeovers)
{
    std::vector<PlaceNumber> releasable;
    std::ranges::copy_if(requested, std::back_inserter(releasable), [&](PlaceNumber number) {
        const std::uint32_t shard = shardOfPlace(number);
        if (shard >= table.shards.size())
            return false;
        const bool isHeld = table.shards[shard][number % PlaceCount].holder == holder;
        const bool isUsable = std::ranges::find(pendingTakeovers, shard) == pendingTakeovers.end();
        return isHeld && isUsable;
    });
    return releasable;
}

std::vector<PlaceMove> releasedMoves(std::span<const PlaceMove> moves,
                                     const HolderId &currentHolder,
                                     std::span<const PlaceNumber> released)
{
    std::vector<PlaceMove> found;
    std::ranges::copy_if(moves, std::back_inserter(found), [&](const PlaceMove &move) {
        const PlaceNumber number = placeNumber(move.shard, move.place);
        return move.currentHolder == currentHolder
                && std::ranges::find(released, number) != released.end();
    });
    return found;
}

ShardTable tableWithMoves(const ShardTable &table, std::span<const PlaceMove> moves)
{
    ShardTable next = table;
    ++next.epoch;
    for (const PlaceMove &move : moves)
        next.shards[move.shard][move.place] = {move.newHolder, next.epoch, false};
    return next;
}

} // namespace pistachiofall
