#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace pistachiofall::store::detail {

/// Returns a JSON text in which the parts that no reader of an object can use are replaced by null,
/// so that one odd object among many does not make all of them unreadable: arrays and objects that
/// are nested deeper than maxDepth levels, and numbers longer than any that a field can hold. Takes
/// time in proportion to the text and no stack, whatever the depth. A text that is not JSON is
/// returned as some other text that is not JSON.
std::string pruneJson(std::string_view text, std::size_t maxDepth);

/// Whether the text may hold a number beyond all doubles. The parser reads it as infinity, which no
/// JSON text can say again. May be true for a text that holds none.
bool mayHoldInfiniteNumber(std::string_view text);

} // namespace pistachiofall::store::detail
