#pragma once

#include <cstdint>

namespace pistachiofall {

/// Section [sharding]. Must be the same on all instances.
struct ShardingSettings
{
    /// The number of shards.
    std::uint32_t shards = 256;
};

} // namespace pistachiofall
