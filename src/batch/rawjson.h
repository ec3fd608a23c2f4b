#pragma once

#include <string_view>

namespace pistachiofall::batch::detail {

/// Returns the text of a member's value without surrounding white space, or an empty text if there
/// is no such member. The text must be a valid JSON object. If the name occurs several times, the
/// last member is used, as in the parser. Names are compared without decoding escapes.
std::string_view rawMember(std::string_view object, std::string_view name);

/// Returns whether the text is a valid JSON value of any type.
bool isJson(std::string_view text);

/// Returns the text as a quoted JSON string. Bytes that are not valid UTF-8 are replaced by U+FFFD.
std::string quoteJson(std::string_view text);

} // namespace pistachiofall::batch::detail
