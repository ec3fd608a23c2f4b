#include "fleet/admission.h"

#include <algorithm>

namespace pistachiofall {

namespace {

using std::chrono::milliseconds;

// The time from the slot grant to the first byte at the caller: the network round trip and the
// processing of the prompt.
constexpr milliseconds FirstByteLatency{40};
constexpr milliseconds MinRetryAfter{250};
constexpr milliseconds MaxRetryAfter{2000};
// Callers are asked to wait for at most a third of their remaining deadline before they retry.
constexpr int RetryDeadlineDivisor = 3;
constexpr std::uint64_t JitterSteps = 1000;

} // namespace

milliseconds expectedWait(const ServiceLoad &load)
{
    const int ahead = load.waiting - load.freeSlots + 1;
    if (ahead <= 0)
        return milliseconds{0};
    if (load.slots <= 0)
        return MaxRetryAfter;
    return load.meanServiceTime * ahead / load.slots;
}

Admission decideAdmission(const ServiceLoad &load, milliseconds objectiveLeft)
{
    return expectedWait(load) + FirstByteLatency <= objectiveLeft ? Admission::Queue
                                                                  : Admission::Reject;
}

milliseconds computeRetryAfter(const ServiceLoad &load, milliseconds deadlineLeft,
                               std::uint64_t jitterHash)
{
    const milliseconds maxDelay =
            std::clamp(deadlineLeft / RetryDeadlineDivisor, MinRetryAfter, MaxRetryAfter);
    const milliseconds minDelay = std::min(maxDelay, std::max(MinRetryAfter, expectedWait(load)));
    const auto step = static_cast<std::int64_t>(jitterHash % JitterSteps);
    return minDelay + (maxDelay - minDelay) * step / static_cast<std::int64_t>(JitterSteps);
}

} // namespace pistachiofall
