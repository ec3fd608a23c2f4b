#pragma once

#include <chrono>

namespace pistachiofall {

/// Slot time of an endpoint since its owner took it over, in slot seconds. All members but lost add
/// up to the limit integrated over time, as long as no more than the limit is in flight.
struct SlotUsage
{
    using Duration = std::chrono::steady_clock::duration;

    Duration online{0};
    Duration batch{0};
    /// Batch slots between their revocation and their release.
    Duration yielding{0};
    /// Free slots withheld from waiting batch requests by the reserve.
    Duration reserved{0};
    /// Other free slots.
    Duration idle{0};
    /// How long revoked batch slots had been in use; included in batch and yielding. Their items
    /// are run again from the start.
    Duration lost{0};
};

} // namespace pistachiofall
