#pragma once

#include "coord/ratelimit.h"

#include <algorithm>
#include <cstdint>

namespace pistachiofall {

/// The rate and capacity of one bucket in integer units. Half of a thousandth of a token per second
/// is one unit per microsecond, so that both halves of every limit are exact.
struct BucketLimit
{
    static constexpr std::int64_t UnitsPerToken = 2'000'000'000;

    std::int64_t unitsPerMicrosecond = 0;
    std::int64_t capacity = 0;

    bool operator==(const BucketLimit &) const = default;
};

/// Returns the limit of a bucket that holds the given number of halves (0, 1 or 2) of an
/// organisation's limit.
constexpr BucketLimit bucketShare(const RateLimit &limit, int halves)
{
    const auto rate = std::clamp<std::int64_t>(limit.milliTokensPerSecond, 0, MaxMilliRate);
    const auto burst = std::clamp<std::int64_t>(limit.burst, 0, MaxBurst);
    return {rate * halves, burst * (BucketLimit::UnitsPerToken / 2) * halves};
}

} // namespace pistachiofall
