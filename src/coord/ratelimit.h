#pragma once

#include <cstdint>

namespace pistachiofall {

/// The rate and burst of one organisation over all instances. Values above MaxMilliRate and
/// MaxBurst are clamped to them.
struct RateLimit
{
    /// Thousandths of a token per second.
    std::int64_t milliTokensPerSecond = 0;
    /// Tokens.
    std::int64_t burst = 0;

    bool operator==(const RateLimit &) const = default;
};

/// A billion tokens per second. Keeps a bucket within 64 bits.
inline constexpr std::int64_t MaxMilliRate = 1'000'000'000'000;
/// Two billion tokens. Keeps a bucket within 64 bits.
inline constexpr std::int64_t MaxBurst = 2'000'000'000;

/// Returns whether the bucket is undivided, so that the holder of the first place has the whole
/// bucket. Half of a burst below two never holds a token, and half of a rate below two per second
/// makes callers wait for longer than a second.
constexpr bool isUndivided(const RateLimit &limit)
{
    return limit.milliTokensPerSecond < 2000 || limit.burst < 2;
}

} // namespace pistachiofall
