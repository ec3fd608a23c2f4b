#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pistachiofall {

/// The path of a request target without its query, percent-decoded. Nothing when a service might
/// read the path as another one than the routes do, which could lead around an access check: empty,
/// "." or ".." segments, also written with escapes, "\" or ";", broken escapes, control characters.
/// One '/' at the end is accepted.
std::optional<std::string> decodeRequestPath(std::string_view target);

} // namespace pistachiofall
