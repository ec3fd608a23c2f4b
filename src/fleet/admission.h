#pragma once

#include <chrono>
#include <cstdint>

namespace pistachiofall {

/// The current load of a service, as seen by a new request.
struct ServiceLoad
{
    /// Slots of the usable endpoints, and the number of them that have no online request.
    int slots = 0;
    int freeSlots = 0;
    /// Queued requests across all instances.
    int waiting = 0;
    /// The recent mean time for which a request occupies its slot.
    std::chrono::milliseconds meanServiceTime{0};
};

/// The decision about a request for which no slot is free.
enum class Admission {
    /// The request is queued and is expected to meet its latency objective.
    Queue,
    /// The caller is told to retry later. No request is lost, and the latency objective starts
    /// again with the next attempt.
    Reject,
};

/// Returns the expected time until a request that arrives now gets a slot.
std::chrono::milliseconds expectedWait(const ServiceLoad &load);

/// Decides to queue a request only if a slot is expected early enough to meet its latency
/// objective. Otherwise the request is rejected at once: a queue that is longer than the objective
/// makes every request in it late and does not increase the throughput.
Admission decideAdmission(const ServiceLoad &load, std::chrono::milliseconds objectiveLeft);

/// Returns when a rejected caller should retry: after the current queue has drained, but before its
/// deadline. The hash adds jitter, because the callers would otherwise retry at the same time.
std::chrono::milliseconds computeRetryAfter(const ServiceLoad &load,
                                            std::chrono::milliseconds deadlineLeft,
                                            std::uint64_t jitterHash);

} // namespace pistachiofall
