#pragma once

#include <cstdint>
#include <string_view>

namespace pistachiofall {

/// A 64-bit hash of the bytes that is the same in every process, build and version. Shards and
/// ranks depend on it, so it must never change.
std::uint64_t stableHash(std::string_view bytes);

/// The rank of a candidate for a key in rendezvous hashing; the lowest rank wins.
std::uint64_t rendezvousRank(std::string_view key, std::string_view candidate);

} // namespace pistachiofall
