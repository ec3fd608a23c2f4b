#pragma once

#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiofall::batch::detail {

/// What a blob holds; part of the check, so that one kind is never read as another.
enum class BlobKind : std::uint8_t {
    Segment = 1,
    Job = 2,
    Progress = 3,
    Results = 4,
};

/// Compresses the content and adds a format version, the kind and a hash.
std::string encodeBlob(BlobKind kind, std::string_view content);

/// ProtocolError for any damage, for another kind, and for content larger than the limit.
Result<std::string> decodeBlob(BlobKind kind, std::string_view blob, std::size_t maxContentBytes);

} // namespace pistachiofall::batch::detail
