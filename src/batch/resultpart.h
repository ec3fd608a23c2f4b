#pragma once

#include "batch/contenthash.h"

#include <cstdint>
#include <vector>

namespace pistachiofall {

/// A group of results that was moved out of a progress object to limit the size of that object.
struct ResultPart
{
    /// Hashes of the objects that hold the encoded results, in order.
    std::vector<ContentHash> chunks;
    /// Indices of the items, ascending.
    std::vector<std::uint32_t> items;
    std::uint32_t failed = 0;

    bool operator==(const ResultPart &) const = default;
};

} // namespace pistachiofall
