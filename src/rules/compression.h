#pragma once

#include "base/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace pistachiofall::detail {

/// One zstd frame with a checksum.
std::string compress(std::string_view text);

/// ProtocolError for damaged data, and for data that would grow beyond the limit.
Result<std::string> decompress(std::string_view data, std::size_t maxBytes);

} // namespace pistachiofall::detail
