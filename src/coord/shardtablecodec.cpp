#include "coord/shardtablecodec.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace pistachiofall {

namespace {

constexpr char FormatVersion = 1;
constexpr std::size_t MaxHolderCount = MaxShardCount * PlaceCount;

void appendNumber(std::string &out, std::uint64_t value)
{
    while (value >= 0x80U) {
        out += static_cast<char>(value | 0x80U);
        value >>= 7U;
    }
    out += static_cast<char>(value);
}

// Reads values from the front of the bytes. After the first failure all reads fail.
class Reader
{
public:
    explicit Reader(std::string_view bytes)
        : m_rest(bytes)
    { }

    std::optional<std::uint64_t> number(std::uint64_t max)
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64 && !m_rest.empty(); shift += 7) {
            const auto byte = static_cast<unsigned char>(m_rest.front());
            const std::uint64_t bits = byte & 0x7fU;
            m_rest.remove_prefix(1);
            if (shift == 63 && bits > 1)
                break;
            value |= bits << shift;
            if ((byte & 0x80U) == 0 && value <= max)
                return value;
            if ((byte & 0x80U) == 0)
                break;
        }
        m_rest = {};
        return std::nullopt;
    }

    std::optional<std::string> text(std::size_t maxLength)
    {
        const auto length = number(maxLength);
        if (!length || *length > m_rest.size())
            return std::nullopt;
        std::string value(m_rest.substr(0, *length));
        m_rest.remove_prefix(*length);
        return value;
    }

    bool isAtEnd() const { return m_rest.empty(); }

private:
    std::string_view m_rest;
};

Error malformed(std::string_view part)
{
    return {ErrorCode::ProtocolError, "shard table: " + std::string(part) + " is malformed"};
}

std::optional<std::vector<HolderId>> readHolders(Reader &reader)
{
    const auto count = reader.number(MaxHolderCount);
    if (!count)
        return std::nullopt;
    std::vector<HolderId> holders;
    for (std::uint64_t index = 0; index < *count; ++index) {
        auto name = reader.text(MaxInstanceNameLength);
        const auto incarnation = reader.number(std::numeric_limits<std::uint64_t>::max());
        if (!name || name->empty() || !incarnation)
            return std::nullopt;
        holders.push_back({*std::move(name), *incarnation});
    }
    return holders;
}

std::optional<ShardPlace> readPlace(Reader &reader, const std::vector<HolderId> &holders,
                                    std::uint64_t epoch)
{
    if (holders.empty())
        return std::nullopt;
    const auto holder = reader.number(holders.size() - 1);
    const auto ageAndFlag = reader.number(std::numeric_limits<std::uint64_t>::max());
    if (!holder || !ageAndFlag || *ageAndFlag / 2 > epoch)
        return std::nullopt;
    return ShardPlace{holders[*holder], epoch - *ageAndFlag / 2, *ageAndFlag % 2 == 1};
}

} // namespace

std::string encodeShardTable(const ShardTable &table)
{
    std::map<HolderId, std::uint64_t> indexes;
    for (const Shard &shard : table.shards) {
        for (const ShardPlace &place : shard)
            indexes.emplace(place.holder, 0);
    }
    std::string out(1, FormatVersion);
    appendNumber(out, table.epoch);
    appendNumber(out, indexes.size());
    std::uint64_t next = 0;
    for (auto &[holder, index] : indexes) {
        index = next++;
        appendNumber(out, holder.instance.size());
        out += holder.instance;
        appendNumber(out, holder.incarnation);
    }
    appendNumber(out, table.shards.size());
    for (const Shard &shard : table.shards) {
        for (const ShardPlace &place : shard) {
            appendNumber(out, indexes.at(place.holder));
            appendNumber(out, (table.epoch - place.assignedEpoch) * 2 + (place.takenOver ? 1 : 0));
        }
    }
    return out;
}

Result<ShardTable> decodeShardTable(std::string_view bytes)
{
    if (bytes.empty() || bytes.front() != FormatVersion)
        return malformed("format version");
    Reader reader(bytes.substr(1));
    // Twice the age of a place must fit into 64 bits.
    const auto epoch = reader.number(std::numeric_limits<std::uint64_t>::max() / 2);
    if (!epoch)
        return malformed("epoch");
    const auto holders = readHolders(reader);
    if (!holders)
        return malformed("list of holders");
    const auto shardCount = reader.number(MaxShardCount);
    if (!shardCount || *shardCount == 0)
        return malformed("number of shards");
    ShardTable table{*epoch, {}};
    for (std::uint64_t index = 0; index < *shardCount; ++index) {
        auto first = readPlace(reader, *holders, *epoch);
        auto second = readPlace(reader, *holders, *epoch);
        if (!first || !second)
            return malformed("shard " + std::to_string(index));
        table.shards.push_back({*std::move(first), *std::move(second)});
    }
    if (!reader.isAtEnd())
        return malformed("end");
    return table;
}

} // namespace pistachiofall
