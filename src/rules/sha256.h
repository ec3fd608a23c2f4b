#pragma once

#include "rules/keyrule.h"

#include <initializer_list>
#include <span>
#include <string_view>

namespace pistachiofall::detail {

/// The SHA-256 of the parts joined.
KeyDigest sha256(std::initializer_list<std::span<const unsigned char>> parts);

/// The bytes of a text.
std::span<const unsigned char> bytesOf(std::string_view text);

} // namespace pistachiofall::detail
