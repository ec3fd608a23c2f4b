#include "coord/placerelease.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

namespace {

const HolderId self{"i0", 2};
const HolderId other{"i1", 1};
const HolderId joined{"i2", 1};

} // namespace

TEST_GROUP(PlaceRelease)
{
    ShardTable table{4,
                     {Shard{{{self, 1, false}, {other, 1, false}}},
                      Shard{{{self, 4, true}, {other, 1, false}}},
                      Shard{{{{"i0", 1}, 1, false}, {self, 1, false}}}}};
};

// Guards against the release of a place that another instance, the former process of this instance
// or a former holder may still use, and against invalid numbers from a faulty peer.
TEST(PlaceRelease, PlacesWithAPendingTakeoverAreNotReleased)
{
    const std::vector<PlaceNumber> requested{0, 1, 2, 3, 4, 5, 6, 0xffffffff};
    const std::vector<std::uint32_t> pendingTakeovers{1};
    CHECK((releasablePlaces(table, self, requested, pendingTakeovers)
           == std::vector<PlaceNumber>{0, 5}));
    CHECK((releasablePlaces(table, self, requested, {}) == std::vector<PlaceNumber>{0, 2, 5}));
}

// Guards against a move that its current holder did not agree to, or that another holder agreed to.
TEST(PlaceRelease, OnlyReleasedMovesChangeTheTable)
{
    const std::vector<PlaceMove> moves{{0, FirstPlace, self, joined},
                                       {1, SecondPlace, other, joined},
                                       {2, SecondPlace, self, joined}};
    const std::vector<PlaceNumber> released{0, 3, 1};
    const auto agreed = releasedMoves(moves, self, released);
    CHECK((agreed == std::vector<PlaceMove>{moves[0]}));
    const ShardTable next = tableWithMoves(table, agreed);
    ShardTable expected = table;
    expected.epoch = 5;
    expected.shards[0][FirstPlace] = {joined, 5, false};
    CHECK(next == expected);
}
