#include "base/stablehash.h"

namespace pistachiofall {

namespace {

// The finaliser of SplitMix64. FNV-1a alone leaves the high bits of short names correlated, which
// makes rendezvous ranks of names like "a-1" and "a-2" uneven.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    value ^= value >> 31U;
    return value;
}

} // namespace

std::uint64_t stableHash(std::string_view bytes)
{
    constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;
    std::uint64_t hash = FnvOffset;
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= FnvPrime;
    }
    return mix(hash);
}

std::uint64_t rendezvousRank(std::string_view key, std::string_view candidate)
{
    return mix(stableHash(key) + 0x9e3779b97f4a7c15ULL * stableHash(candidate));
}

} // namespace pistachiofall
