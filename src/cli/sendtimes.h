#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace pistachiofall {

/// Generates the send times of an open-loop flow as offsets from its start, with exponentially
/// distributed gaps. A seed gives the same times with every standard library.
class SendTimes
{
public:
    SendTimes(double ratePerSecond, std::uint64_t seed);

    /// Returns the offset of the next request.
    std::chrono::nanoseconds next();

private:
    const double m_ratePerSecond;
    std::mt19937_64 m_random;
    std::chrono::duration<double> m_offset{0};
};

} // namespace pistachiofall
