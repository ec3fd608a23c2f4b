#include "coord/shardtable.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(ShardTable){};

// Guards against a change of the mapping, after which instances of different versions would request
// tokens from different holders.
TEST(ShardTable, ShardOfANameIsFixed)
{
    CHECK_EQUAL(0x130a76222d4427efULL % 256, shardOf("acme", 256));
    CHECK_EQUAL(0x130a76222d4427efULL % 1000, shardOf("acme", 1000));
}

TEST(ShardTable, FindsHoldersAndHoldings)
{
    const HolderId a{"a", 1};
    const HolderId restarted{"a", 2};
    const ShardTable table{7,
                           {Shard{{{a, 1, false}, {restarted, 2, false}}},
                            Shard{{{restarted, 3, true}, {a, 4, false}}}}};
    const Holdings holdings = holdingsOf(table, a);
    CHECK(holdings[FirstPlace] == std::vector<std::uint32_t>{0});
    CHECK(holdings[SecondPlace] == std::vector<std::uint32_t>{1});
    CHECK(shardFor(table, "acme") == table.shards[shardOf("acme", 2)]);
}
