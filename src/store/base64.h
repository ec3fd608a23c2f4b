#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pistachiofall::store::detail {

/// The standard base64 form with padding, which JSON uses for bytes.
std::string encodeBase64(std::string_view bytes);

/// Nothing when the text is not padded standard base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace pistachiofall::store::detail
