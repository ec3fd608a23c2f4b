#pragma once

#include <chrono>
#include <cstdint>

namespace pistachiofall {

/// Exponential backoff with full jitter: the delay is random between zero and a bound that doubles
/// with each attempt, so that callers that failed together do not retry together.
class Backoff
{
public:
    Backoff(std::chrono::milliseconds first, std::chrono::milliseconds highest);

    /// Returns the delay after the given number of failed attempts (1 or more), computed from a
    /// uniformly distributed random number.
    std::chrono::milliseconds delay(int failedAttempts, std::uint64_t random) const;

private:
    std::chrono::milliseconds m_first;
    std::chrono::milliseconds m_highest;
};

} // namespace pistachiofall
