#pragma once

#include "coord/holderid.h"

#include <cstddef>
#include <cstdint>

namespace pistachiofall {

/// The planned move of one place from its holder to another instance.
struct PlaceMove
{
    std::uint32_t shard = 0;
    std::size_t place = 0;
    HolderId currentHolder;
    HolderId newHolder;

    bool operator==(const PlaceMove &) const = default;
};

} // namespace pistachiofall
