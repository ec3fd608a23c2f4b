#pragma once

#include "coord/bucketlimit.h"
#include "coord/coordtimes.h"
#include "coord/limitanswer.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace pistachiofall {

/// A token bucket in integer arithmetic. Times are rounded down to whole microseconds and waits are
/// rounded up, so that rounding never adds tokens. A grant that is not due yet takes its tokens at
/// once, so grants become due in the order of their requests. A time before the latest one passed
/// counts as the latest one. Not thread safe.
class TokenBucket
{
public:
    /// Requests with a longer wait are refused, which keeps the debt within 64 bits.
    static constexpr std::chrono::microseconds MaxWait{1'000'000};

    /// Starts with the given number of tokens, capped at the limit's capacity.
    TokenBucket(const BucketLimit &limit, SteadyTime now, std::int64_t tokens = 0);

    /// Grants the tokens now or with a due time within maxWait, or refuses them.
    BucketAnswer take(std::uint32_t tokens, std::chrono::microseconds maxWait, SteadyTime now);

    /// Keeps the level, capped at the new capacity. Grants that are not due yet keep their due
    /// times.
    void setLimit(const BucketLimit &limit, SteadyTime now);

    bool isFull(SteadyTime now) const;

    /// Returns the number of whole tokens that could be taken now.
    std::int64_t tokens(SteadyTime now) const;

    /// Returns the time that the level was last computed for.
    SteadyTime updatedAt() const { return m_updated; }

private:
    using Microtime = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

    void refill(SteadyTime now);
    std::optional<std::chrono::microseconds> timeUntil(std::int64_t level) const;

    BucketLimit m_limit;
    // In units; negative while granted tokens are not due yet.
    std::int64_t m_level;
    Microtime m_updated;
};

} // namespace pistachiofall
