#pragma once

#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiofall::batch::detail {

/// Type of the content of a blob. Stored in the blob and verified when it is decoded, so that a
/// blob of one kind is never read as another.
enum class BlobKind : std::uint8_t {
    Segment = 1,
    Job = 2,
    Progress = 3,
    Results = 4,
};

/// Compresses the content and adds a format version, the kind and a checksum.
std::string encodeBlob(BlobKind kind, std::string_view content);

/// Decodes a blob. Returns ProtocolError if it is corrupt, is of another kind, or has content
/// larger than the limit.
Result<std::string> decodeBlob(BlobKind kind, std::string_view blob, std::size_t maxContentBytes);

} // namespace pistachiofall::batch::detail
