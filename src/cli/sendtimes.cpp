#include "cli/sendtimes.h"

#include <cmath>

namespace pistachiofall {

SendTimes::SendTimes(double ratePerSecond, std::uint64_t seed)
    : m_ratePerSecond(ratePerSecond)
    , m_random(seed)
{ }

std::chrono::nanoseconds SendTimes::next()
{
    // The distributions of the standard library are not used, because their results differ between
    // implementations. The upper 53 bits fill the mantissa, so the value is in [0, 1).
    const double uniform = std::ldexp(static_cast<double>(m_random() >> 11U), -53);
    m_offset += std::chrono::duration<double>{-std::log1p(-uniform) / m_ratePerSecond};
    return std::chrono::duration_cast<std::chrono::nanoseconds>(m_offset);
}

} // namespace pistachiofall
