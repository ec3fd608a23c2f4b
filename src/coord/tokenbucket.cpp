#include "coord/tokenbucket.h"

#include <algorithm>

namespace pistachiofall {

using std::chrono::microseconds;

TokenBucket::TokenBucket(const BucketLimit &limit, SteadyTime now, std::int64_t tokens)
    : m_limit(limit)
    , m_level(std::min(std::clamp<std::int64_t>(tokens, 0, MaxBurst) * BucketLimit::UnitsPerToken,
                       limit.capacity))
    , m_updated(std::chrono::floor<microseconds>(now))
{ }

BucketAnswer TokenBucket::take(std::uint32_t tokens, microseconds maxWait, SteadyTime now)
{
    refill(now);
    const std::int64_t cost = tokens * BucketLimit::UnitsPerToken;
    if (cost > m_limit.capacity)
        return TokensRefused{};
    const auto wait = timeUntil(cost);
    if (!wait || *wait > std::min(maxWait, MaxWait))
        return TokensRefused{wait};
    // The wait is rounded up, so the level may be slightly above the cost at the due time. The part
    // that exceeds the capacity by then is discarded.
    const std::int64_t levelWhenDue = m_level + wait->count() * m_limit.unitsPerMicrosecond;
    m_level -= std::max<std::int64_t>(levelWhenDue - m_limit.capacity, 0);
    m_level -= cost;
    return TokensGranted{m_updated + *wait};
}

void TokenBucket::setLimit(const BucketLimit &limit, SteadyTime now)
{
    refill(now);
    // A higher rate must not pay off the debt of granted tokens before their due time.
    const auto untilDue = timeUntil(0);
    if (untilDue && m_level < 0)
        m_level = std::min(m_level, -untilDue->count() * limit.unitsPerMicrosecond);
    m_limit = limit;
    m_level = std::min(m_level, limit.capacity);
}

bool TokenBucket::isFull(SteadyTime now) const
{
    TokenBucket copy = *this;
    copy.refill(now);
    return copy.m_level == m_limit.capacity;
}

std::int64_t TokenBucket::tokens(SteadyTime now) const
{
    TokenBucket copy = *this;
    copy.refill(now);
    return std::max<std::int64_t>(copy.m_level, 0) / BucketLimit::UnitsPerToken;
}

void TokenBucket::refill(SteadyTime now)
{
    const Microtime time = std::chrono::floor<microseconds>(now);
    if (time <= m_updated)
        return;
    // Comparing times first keeps the product below the capacity, however long ago the last update
    // was.
    const auto untilFull = timeUntil(m_limit.capacity);
    const microseconds elapsed = time - m_updated;
    if (untilFull && elapsed >= *untilFull)
        m_level = m_limit.capacity;
    else
        m_level += elapsed.count() * m_limit.unitsPerMicrosecond;
    m_updated = time;
}

std::optional<microseconds> TokenBucket::timeUntil(std::int64_t level) const
{
    const std::int64_t missing = level - m_level;
    if (missing <= 0)
        return microseconds{0};
    const std::int64_t rate = m_limit.unitsPerMicrosecond;
    if (rate == 0)
        return std::nullopt;
    return microseconds{(missing + rate - 1) / rate};
}

} // namespace pistachiofall
