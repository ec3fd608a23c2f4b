#include "store/percentencoding.h"

namespace pistachiofall::store::detail {

namespace {

bool isUnreserved(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9')
            || std::string_view("-._~").find(character) != std::string_view::npos;
}

} // namespace

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char character : text) {
        if (isUnreserved(character)) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += Digits[byte >> 4U];
        encoded += Digits[byte & 15U];
    }
    return encoded;
}

} // namespace pistachiofall::store::detail
