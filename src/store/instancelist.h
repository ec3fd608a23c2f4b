#pragma once

#include "store/listedinstance.h"

#include <cstdint>
#include <vector>

namespace pistachiofall {

/// A snapshot of the platform's instance list. A higher version is a newer snapshot.
struct InstanceList
{
    std::uint64_t version = 0;
    std::vector<ListedInstance> instances;
};

} // namespace pistachiofall
