#pragma once

#include <cstddef>

namespace pistachiofall {

inline constexpr std::size_t MaxRulesSegments = 256;

/// The limit of the object API before base64.
inline constexpr std::size_t MaxStoredValueBytes = 750'000;

/// When changes become segments, and how large parts are. Tests use small numbers.
struct RuleStorageLimits
{
    /// New segments are written when the changes since the last ones are larger. Followers read the
    /// head at each change, so it must stay small.
    std::size_t deltaBytes = 64U << 10U;
    /// The changes from before the segments that the head keeps. Without them each follower would
    /// read all segments whenever new ones are written.
    std::size_t historyBytes = 32U << 10U;
    /// The size of a segment to aim at, before compression.
    std::size_t segmentBytes = 16U << 10U;
    /// The rules in one message of a whole set. With lines of at most 1,000 bytes a message stays
    /// below the 1 MB of a frame without any compression.
    std::size_t rulesPerPart = 900;
};

} // namespace pistachiofall
