#pragma once

#include <string>
#include <string_view>

namespace pistachiofall::store::detail {

/// Encodes text for a path segment or a query value: all but letters, digits and "-._~".
std::string percentEncode(std::string_view text);

} // namespace pistachiofall::store::detail
