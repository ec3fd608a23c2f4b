#include "coord/backoff.h"

#include <algorithm>

namespace pistachiofall {

Backoff::Backoff(std::chrono::milliseconds first, std::chrono::milliseconds highest)
    : m_first(first)
    , m_highest(highest)
{ }

std::chrono::milliseconds Backoff::delay(int failedAttempts, std::uint64_t random) const
{
    std::chrono::milliseconds bound = m_first;
    for (int attempt = 1; attempt < failedAttempts && bound < m_highest; ++attempt)
        bound *= 2;
    bound = std::min(bound, m_highest);
    const auto span = static_cast<std::uint64_t>(bound.count()) + 1;
    return std::chrono::milliseconds{static_cast<std::int64_t>(random % span)};
}

} // namespace pistachiofall
