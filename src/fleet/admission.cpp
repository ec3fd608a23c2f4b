#include "fleet/admission.h"

#include <algorithm>

namespace pistachiofall {

namespace {

using std::chrono::milliseconds;

// From the slot to the first byte at the caller: the way there and back and the prompt.
constexpr milliseconds StartTime{40};
constexpr milliseconds ShortestRetryAfter{250};
constexpr milliseconds LongestRetryAfter{2000};
// Callers wait at most a third of the time they have left before their next attempt.
constexpr int WaitableFraction = 3;
constexpr std::uint64_t SpreadSteps = 1000;

} // namespace

milliseconds expectedWait(const ServiceLoad &load)
{
    const int ahead = load.waiting - load.freeSlots + 1;
    if (ahead <= 0)
        return milliseconds{0};
    if (load.slots <= 0)
        return LongestRetryAfter;
    return load.meanHold * ahead / load.slots;
}

Admission decideAdmission(const ServiceLoad &load, milliseconds objectiveLeft)
{
    return expectedWait(load) + StartTime <= objectiveLeft ? Admission::Wait : Admission::Refuse;
}

milliseconds retryAfterFor(const ServiceLoad &load, milliseconds deadlineLeft,
                           std::uint64_t spreadHash)
{
    const milliseconds most =
            std::clamp(deadlineLeft / WaitableFraction, ShortestRetryAfter, LongestRetryAfter);
    const milliseconds least = std::min(most, std::max(ShortestRetryAfter, expectedWait(load)));
    const auto step = static_cast<std::int64_t>(spreadHash % SpreadSteps);
    return least + (most - least) * step / static_cast<std::int64_t>(SpreadSteps);
}

} // namespace pistachiofall
