#pragma once

#include "coord/coordtimes.h"
#include "store/instancelist.h"

#include <cstdint>
#include <memory>

namespace pistachiofall {

/// A snapshot of the instance list, as it was read from the store by this instance or another one.
struct ListReading
{
    std::shared_ptr<const InstanceList> list;
    std::uint64_t contentHash = 0;
    /// The newest read that returned it began at this time or later.
    SteadyTime asOf;
};

} // namespace pistachiofall
