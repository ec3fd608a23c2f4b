#pragma once

#include "base/result.h"
#include "coord/shardtable.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace pistachiofall {

/// Limits of an encoded table, which prevent a malformed one from exhausting memory.
inline constexpr std::size_t MaxShardCount = 65'536;
inline constexpr std::size_t MaxInstanceNameLength = 253;

/// Encodes a table: a version byte, then variable-length integers, with each holder stored once.
std::string encodeShardTable(const ShardTable &table);

/// Decodes a table. Fails with ProtocolError unless the bytes are exactly one complete table with
/// at least one shard.
Result<ShardTable> decodeShardTable(std::string_view bytes);

} // namespace pistachiofall
