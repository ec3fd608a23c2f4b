#pragma once

#include "base/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace pistachiofall {

/// A single request of a batch job.
struct BatchItem
{
    /// Identifier chosen by the caller to match the result to the item.
    std::string customId;
    std::string path;
    /// JSON text of the request, passed on byte for byte as the caller sent it.
    std::string body;

    bool operator==(const BatchItem &) const = default;
};

inline constexpr std::string_view DefaultItemPath = "/v1/chat/completions";

/// Maximum length of one input line. An item has to fit into a single store object even if it does
/// not compress.
inline constexpr std::size_t MaxItemBytes = 512'000;
inline constexpr std::size_t MaxCustomIdBytes = 256;
inline constexpr std::size_t MaxItemPathBytes = 1'024;

/// Parses one line of the form {"custom_id": ..., "path": ..., "body": {...}}, where path is
/// optional. Returns InvalidArgument with the reason if the line is malformed or has an unknown
/// member.
Result<BatchItem> parseBatchItem(std::string_view line);

} // namespace pistachiofall
