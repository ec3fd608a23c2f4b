#pragma once

#include "fleet/placement.h"

#include <chrono>
#include <string_view>
#include <variant>

namespace pistachiofall {

/// Why the scheduler refused a slot.
enum class SlotRefusalReason {
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// The queue is too long for the request to meet its objective.
    Overloaded,
    /// The deadline of the request passed while it was waiting.
    DeadlinePassed,
    /// The caller has disconnected.
    CallerGone,
    /// The prompt holds a part that ends endpoints.
    Quarantined,
};

std::string_view toString(SlotRefusalReason reason);

/// The reason why a request got no slot, and the time after which its caller should retry.
struct SlotRefusal
{
    SlotRefusalReason reason = SlotRefusalReason::Overloaded;
    std::chrono::milliseconds retryAfter{0};
};

using SlotOutcome = std::variant<Placement, SlotRefusal>;

} // namespace pistachiofall
