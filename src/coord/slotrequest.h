#pragma once

#include "coord/workclass.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace pistachiofall {

/// A request for a slot at the owner of an endpoint.
struct SlotRequest
{
    /// Chosen by the caller; identifies the request in the resulting actions.
    std::uint64_t ticket = 0;
    WorkClass workClass = WorkClass::Online;
    /// The instance that will use the slot.
    std::string instance;
    std::chrono::steady_clock::time_point deadline;
    /// Since when the request has waited, here or at other endpoints. Its place in the queue.
    std::chrono::steady_clock::time_point waitingSince{};
};

/// A held slot that an instance reports to a new owner.
struct HeldSlot
{
    std::uint64_t slotId = 0;
    WorkClass workClass = WorkClass::Online;
};

} // namespace pistachiofall
