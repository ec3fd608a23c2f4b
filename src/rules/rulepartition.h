#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall::detail {

/// The segment of a stored line among so many: by the hash of its organisation, or of kind and name
/// when it names none.
std::size_t segmentOf(std::string_view line, std::size_t count);

/// The number of segments for the lines, a power of two from 1 to 256. Keeps the number there is
/// while the segments stay within half and double the size to aim at, because another number means
/// to write all segments.
std::size_t segmentCount(const std::vector<std::string> &lines, std::size_t currentCount,
                         std::size_t segmentBytes);

/// The lines of each segment.
std::vector<std::vector<std::string>> partition(const std::vector<std::string> &lines,
                                                std::size_t count);

} // namespace pistachiofall::detail
