#pragma once

#include "coord/workclass.h"

#include <cstdint>
#include <string>

namespace pistachiofall {

/// A slot that this instance holds at an endpoint.
struct SlotLease
{
    std::string endpoint;
    std::uint64_t slotId = 0;
    WorkClass workClass = WorkClass::Online;
};

} // namespace pistachiofall
