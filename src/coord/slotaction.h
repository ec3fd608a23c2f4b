#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pistachiofall {

/// Why a request for a slot was refused.
enum class SlotRefusal {
    QueueFull,
    TimedOut,
    /// The endpoint is leaving, its failure domain is taken out of service, or it accepts no
    /// connections.
    EndpointOut,
    /// A new owner is still surveying the members for the requests in flight.
    Surveying,
};

/// Grants a slot to the request. The slot expires unless it is renewed within the time to live.
struct GrantSlot
{
    std::uint64_t ticket = 0;
    std::uint64_t slotId = 0;
    std::chrono::milliseconds timeToLive{0};
};

/// Refuses the request, which gets no slot.
struct RefuseSlot
{
    std::uint64_t ticket = 0;
    SlotRefusal reason = SlotRefusal::TimedOut;
};

/// Revokes a slot: the instance must cancel the batch request that uses it and release it.
struct RevokeSlot
{
    std::string instance;
    std::uint64_t slotId = 0;
};

using SlotAction = std::variant<GrantSlot, RefuseSlot, RevokeSlot>;
using SlotActions = std::vector<SlotAction>;

} // namespace pistachiofall
