#pragma once

#include "base/result.h"
#include "batch/batchitem.h"
#include "batch/contenthash.h"
#include "batch/jobid.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall {

inline constexpr std::size_t MaxSegmentItems = 500;

/// Maximum size of an encoded segment. A store object holds 750,000 bytes; the difference is a
/// margin for changes of the format.
inline constexpr std::size_t MaxSegmentBytes = 600'000;

/// An encoded segment, ready to be stored.
struct EncodedSegment
{
    /// Hash of the encoded items before compression, because the compressed bytes may differ
    /// between versions of zstd.
    ContentHash hash;
    std::uint32_t itemCount = 0;
    std::string data;
};

/// Encodes at most MaxSegmentItems items. They are split into several segments if the compressed
/// size exceeds MaxSegmentBytes.
std::vector<EncodedSegment> encodeSegments(std::span<const BatchItem> items);

/// Returns ProtocolError if the data is corrupt or does not have the given hash.
Result<std::vector<BatchItem>> decodeSegment(std::string_view data, const ContentHash &hash);

/// The name contains the job id, so that the segment can be removed with the job.
std::string segmentObjectName(const JobId &job, const ContentHash &hash);

} // namespace pistachiofall
