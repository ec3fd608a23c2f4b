#include "rules/ruletext.h"

#include "rules/rulelimits.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

namespace pistachiofall::detail {

namespace {

bool isAlphanumeric(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9');
}

bool isNameWith(std::string_view text, std::string_view otherCharacters, std::size_t maxBytes)
{
    if (text.empty() || text.size() > maxBytes || !isAlphanumeric(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(), [&](char character) {
        return isAlphanumeric(character)
                || otherCharacters.find(character) != std::string_view::npos;
    });
}

/// The length of the UTF-8 sequence at the start of the text; 0 when there is none.
std::size_t utf8SequenceLength(std::string_view text)
{
    const auto byteAt = [&](std::size_t index) { return static_cast<unsigned char>(text[index]); };
    const unsigned char lead = byteAt(0);
    if (lead < 0x80)
        return 1;
    const std::size_t length = lead >= 0xf0 ? 4 : lead >= 0xe0 ? 3 : 2;
    if (lead < 0xc2 || lead > 0xf4 || text.size() < length)
        return 0;
    for (std::size_t index = 1; index < length; ++index) {
        if ((byteAt(index) & 0xc0U) != 0x80U)
            return 0;
    }
    // Overlong forms, surrogates and code points above U+10FFFF differ in the second byte.
    const unsigned char second = byteAt(1);
    const bool isInvalid = (lead == 0xe0 && second < 0xa0) || (lead == 0xed && second > 0x9f)
            || (lead == 0xf0 && second < 0x90) || (lead == 0xf4 && second > 0x8f);
    return isInvalid ? 0 : length;
}

bool isControl(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return (byte < 0x20 && character != '\t') || byte == 0x7f;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// The value of a hex digit, or -1.
int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

} // namespace

bool isRuleName(std::string_view text)
{
    return isNameWith(text, "._-", MaxRuleNameBytes);
}

bool isModelName(std::string_view text)
{
    return isNameWith(text, "._-/:@+", MaxModelNameBytes);
}

bool isRoutePrefix(std::string_view text)
{
    if (text.empty() || text.size() > MaxRoutePrefixBytes || text.front() != '/')
        return false;
    if (text == "/")
        return true;
    std::size_t start = 1;
    while (start <= text.size()) {
        const std::size_t end = std::min(text.find('/', start), text.size());
        const std::string_view segment = text.substr(start, end - start);
        if (segment.empty() || segment == "." || segment == "..")
            return false;
        if (!std::all_of(segment.begin(), segment.end(), [](char character) {
                return isAlphanumeric(character)
                        || std::string_view("._~-").find(character) != std::string_view::npos;
            }))
            return false;
        start = end + 1;
    }
    return true;
}

bool isRuleComment(std::string_view text)
{
    constexpr std::string_view Start = "by ";
    const std::size_t colon = text.find(':');
    if (text.size() > MaxRuleCommentBytes || !text.starts_with(Start)
        || colon == std::string_view::npos)
        return false;
    return isAuthor(trimmed(text.substr(Start.size(), colon - Start.size())))
            && !trimmed(text.substr(colon + 1)).empty();
}

bool isAuthor(std::string_view text)
{
    return !text.empty() && text.size() <= MaxAuthorBytes && trimmed(text) == text
            && text.find_first_of(":#\t") == std::string_view::npos && !findBadByte(text);
}

std::optional<std::size_t> findBadByte(std::string_view text)
{
    std::size_t offset = 0;
    while (offset < text.size()) {
        const std::size_t length = utf8SequenceLength(text.substr(offset));
        if (length == 0 || isControl(text[offset]))
            return offset;
        offset += length;
    }
    return std::nullopt;
}

std::optional<double> parseDecimal(std::string_view text)
{
    // Also keeps the shortest form of the number this short.
    constexpr std::size_t MaxDigits = 20;
    const bool isPlain = std::all_of(text.begin(), text.end(), [](char character) {
        return (character >= '0' && character <= '9') || character == '.';
    });
    if (!isPlain || text.empty() || text.size() > MaxDigits || text.front() == '.'
        || text.back() == '.')
        return std::nullopt;
    double value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return value;
}

std::string formatDecimal(double value)
{
    // A double has at most 309 digits before the point.
    std::array<char, 400> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value,
                                   std::chars_format::fixed)
                             .ptr;
    return {buffer.data(), end};
}

bool parseHex(std::string_view text, std::span<unsigned char> bytes)
{
    if (text.size() != bytes.size() * 2)
        return false;
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        const int high = hexValue(text[2 * index]);
        const int low = hexValue(text[2 * index + 1]);
        if (high < 0 || low < 0)
            return false;
        bytes[index] = static_cast<unsigned char>(high * 16 + low);
    }
    return true;
}

std::string formatHex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text += Digits[byte >> 4U];
        text += Digits[byte & 0xfU];
    }
    return text;
}

} // namespace pistachiofall::detail
