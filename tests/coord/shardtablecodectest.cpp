#include "coord/shardtablecodec.h"

#include <limits>
#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

namespace {

ShardTable makeTable(std::size_t shardCount, std::size_t instanceCount, std::uint64_t epoch)
{
    ShardTable table{epoch, {}};
    for (std::size_t index = 0; index < shardCount; ++index) {
        Shard shard;
        for (std::size_t place = 0; place < PlaceCount; ++place) {
            const std::size_t instance = (index * 7 + place * 3) % instanceCount;
            shard[place] = {{"instance-of-east-a-" + std::to_string(instance),
                             1'700'000'000'000'000'000ULL + instance},
                            epoch - index % epoch,
                            index % 5 == 0};
        }
        table.shards.push_back(shard);
    }
    return table;
}

} // namespace

TEST_GROUP(ShardTableCodec){};

TEST(ShardTableCodec, DecodesWhatItEncodes)
{
    CHECK(rc::check("round trip", [] {
        const auto epoch = *rc::gen::inRange<std::uint64_t>(1, 1ULL << 62U);
        const ShardTable table = makeTable(*rc::gen::inRange<std::size_t>(1, 300),
                                           *rc::gen::inRange<std::size_t>(1, 50), epoch);
        const auto decoded = decodeShardTable(encodeShardTable(table));
        RC_ASSERT(isOk(decoded));
        RC_ASSERT(valueOf(decoded) == table);
    }));
}

// Guards against a table whose size approaches the store's value limit at the design scale.
TEST(ShardTableCodec, IsWellBelowAHundredKilobytesAtDesignScale)
{
    CHECK(encodeShardTable(makeTable(1024, 410, 500'000)).size() < 50'000);
}

// Guards against a truncated or padded value that is decoded as a table.
TEST(ShardTableCodec, RejectsEveryPrefixAndAnySuffix)
{
    const std::string bytes = encodeShardTable(makeTable(9, 4, 300));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        const auto decoded = decodeShardTable(bytes.substr(0, length));
        CHECK_FALSE(isOk(decoded));
        CHECK(errorOf(decoded).code == ErrorCode::ProtocolError);
    }
    CHECK_FALSE(isOk(decodeShardTable(bytes + '\0')));
}

// Guards against malformed bytes from a faulty peer that crash the decoder or exhaust memory.
TEST(ShardTableCodec, SurvivesArbitraryChanges)
{
    const std::string bytes = encodeShardTable(makeTable(9, 4, 300));
    CHECK(rc::check("changed bytes", [&bytes] {
        std::string changed = bytes;
        for (int count = *rc::gen::inRange(1, 4); count > 0; --count)
            changed[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        const auto decoded = decodeShardTable(changed);
        if (!isOk(decoded))
            return;
        RC_ASSERT(!valueOf(decoded).shards.empty());
        for (const Shard &shard : valueOf(decoded).shards) {
            for (const ShardPlace &place : shard)
                RC_ASSERT(place.assignedEpoch <= valueOf(decoded).epoch);
        }
    }));
}

// Guards against the loss of any single check of the decoder.
TEST(ShardTableCodec, RejectsWhatNoTableHas)
{
    const std::string valid{"\x01\x05\x01\x01x\x09\x01\0\x02\0\x03", 11};
    CHECK(isOk(decodeShardTable(valid)));
    const auto isRejectedWith = [&valid](std::size_t position, char byte) {
        std::string changed = valid;
        changed[position] = byte;
        return !isOk(decodeShardTable(changed));
    };
    CHECK(isRejectedWith(0, 2));    // format version
    CHECK(isRejectedWith(2, 0));    // no holders
    CHECK(isRejectedWith(3, 0));    // empty name
    CHECK(isRejectedWith(6, 0));    // no shards
    CHECK(isRejectedWith(7, 1));    // holder that is not in the list
    CHECK(isRejectedWith(8, 0x0c)); // assigned before the first epoch
    const std::string tooLong = "\x01" + std::string(9, '\x80') + "\x02";
    CHECK_FALSE(isOk(decodeShardTable(tooLong)));
}
