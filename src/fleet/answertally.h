#pragma once

#include <cstdint>

namespace pistachiofall {

/// Counts of the answers of endpoints.
struct AnswerTally
{
    std::uint32_t answers = 0;
    /// Errors of the endpoint and requests that it did not answer.
    std::uint32_t failures = 0;
    /// Successful answers that took several times as long as those of other versions.
    std::uint32_t slow = 0;

    std::uint32_t bad() const { return failures + slow; }

    AnswerTally &operator+=(const AnswerTally &other)
    {
        answers += other.answers;
        failures += other.failures;
        slow += other.slow;
        return *this;
    }
    bool operator==(const AnswerTally &other) const = default;
};

} // namespace pistachiofall
