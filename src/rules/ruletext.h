#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pistachiofall::detail {

// What the functions below accept, as error messages state it.
inline constexpr std::string_view RuleNameForm =
        "up to 64 letters, digits, '.', '_' and '-', a letter or digit first";
inline constexpr std::string_view ModelNameForm =
        "up to 128 letters, digits and any of . _ - / : @ +, a letter or digit first";
inline constexpr std::string_view RoutePrefixForm =
        "'/' or up to 200 letters, digits, '.', '_', '~', '-' and '/', which starts with '/', does "
        "not end with it, and has no empty, '.' or '..' segment";
inline constexpr std::string_view RuleCommentForm =
        "# by NAME: reason, with up to 64 bytes of NAME and 300 in all";

/// Whether the text is a letter or digit followed by letters, digits, '.', '_' and '-', and not
/// longer than a rule name may be.
bool isRuleName(std::string_view text);

/// As isRuleName, but longer and with '/', ':', '@' and '+', as model names have them.
bool isModelName(std::string_view text);

/// Whether the text is a path prefix such as "/" or "/print/tags": it starts with '/', does not end
/// with one, and its segments are not empty, "." or "..".
bool isRoutePrefix(std::string_view text);

/// Whether the text is "by NAME: reason" with neither part empty, and not too long.
bool isRuleComment(std::string_view text);

/// Whether the text may be the NAME of a comment or the author of a change.
bool isAuthor(std::string_view text);

/// The offset of the first byte that is a control character other than tab, or not UTF-8.
std::optional<std::size_t> findBadByte(std::string_view text);

/// The value of a decimal number such as "0.5" without sign and exponent.
std::optional<double> parseDecimal(std::string_view text);

/// The shortest text that parses as the same number.
std::string formatDecimal(double value);

/// Fills the bytes from hex digits. False when the text has another length or other characters.
bool parseHex(std::string_view text, std::span<unsigned char> bytes);

/// Lower-case hex digits.
std::string formatHex(std::span<const unsigned char> bytes);

} // namespace pistachiofall::detail
