#pragma once

#include <chrono>
#include <cstdint>

namespace pistachiofall {

/// What a new request meets at a service.
struct ServiceLoad
{
    /// Slots of the usable endpoints, and those among them without an online request.
    int slots = 0;
    int freeSlots = 0;
    /// Requests that wait, at all instances.
    int waiting = 0;
    /// How long a request holds its slot, as seen lately.
    std::chrono::milliseconds meanHold{0};
};

/// What happens to a request that has no slot yet.
enum class Admission {
    /// It waits, and is expected to be served within its objective.
    Wait,
    /// It comes back later: nothing is lost, and its next attempt counts its objective anew.
    Refuse,
};

/// How long a request that comes now waits for a slot.
std::chrono::milliseconds expectedWait(const ServiceLoad &load);

/// A request waits only if its slot is expected while its objective can still be met. Otherwise it
/// is refused at once: a queue that is longer than the objective makes every request in it late and
/// serves none more.
Admission decideAdmission(const ServiceLoad &load, std::chrono::milliseconds objectiveLeft);

/// When a refused caller should come back: after the present queue, but not so late that it gives
/// up. The hash spreads the callers, which would otherwise come back together.
std::chrono::milliseconds retryAfterFor(const ServiceLoad &load,
                                        std::chrono::milliseconds deadlineLeft,
                                        std::uint64_t spreadHash);

} // namespace pistachiofall
