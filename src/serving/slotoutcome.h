#pragma once

#include "fleet/placement.h"

#include <chrono>
#include <string_view>
#include <variant>

namespace pistachiofall {

/// Why a request got no slot.
enum class SlotRefusalReason {
    /// No endpoint of the service takes requests.
    NoEndpoint,
    /// A slot would come after the objective.
    Overloaded,
    /// The time of the request ran out while it waited.
    DeadlinePassed,
    /// The caller has gone.
    CallerGone,
};

std::string_view toString(SlotRefusalReason reason);

/// A request that got no slot, and when its caller should come back.
struct SlotRefusal
{
    SlotRefusalReason reason = SlotRefusalReason::Overloaded;
    std::chrono::milliseconds retryAfter{0};
};

using SlotOutcome = std::variant<Placement, SlotRefusal>;

} // namespace pistachiofall
