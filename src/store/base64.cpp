#include "store/base64.h"

#include <array>
#include <cstdint>

namespace pistachiofall::store::detail {

namespace {

constexpr std::string_view Alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t NotInAlphabet = 0xff;

constexpr std::array<std::uint8_t, 256> makeValues()
{
    std::array<std::uint8_t, 256> values{};
    values.fill(NotInAlphabet);
    for (std::size_t index = 0; index < Alphabet.size(); ++index)
        values.at(static_cast<unsigned char>(Alphabet.at(index))) =
                static_cast<std::uint8_t>(index);
    return values;
}

constexpr std::array<std::uint8_t, 256> Values = makeValues();

std::uint32_t byteAt(std::string_view bytes, std::size_t index)
{
    return static_cast<unsigned char>(bytes[index]);
}

std::size_t paddingOf(std::string_view text)
{
    if (text.ends_with("=="))
        return 2;
    return text.ends_with('=') ? 1 : 0;
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4, '=');
    char *out = text.data();
    while (bytes.size() >= 3) {
        const std::uint32_t bits =
                byteAt(bytes, 0) << 16U | byteAt(bytes, 1) << 8U | byteAt(bytes, 2);
        for (unsigned index = 0; index < 4; ++index)
            *out++ = Alphabet[bits >> (18U - 6U * index) & 63U];
        bytes.remove_prefix(3);
    }
    if (!bytes.empty()) {
        const std::uint32_t bits =
                byteAt(bytes, 0) << 16U | (bytes.size() > 1 ? byteAt(bytes, 1) << 8U : 0U);
        for (unsigned index = 0; index <= bytes.size(); ++index)
            *out++ = Alphabet[bits >> (18U - 6U * index) & 63U];
    }
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    const std::string_view digits = text.substr(0, text.size() - paddingOf(text));
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3);
    std::uint32_t bits = 0;
    unsigned bitCount = 0;
    for (const char digit : digits) {
        const std::uint8_t value = Values[static_cast<unsigned char>(digit)];
        if (value == NotInAlphabet)
            return std::nullopt;
        bits = bits << 6U | value;
        bitCount += 6;
        if (bitCount >= 8) {
            bitCount -= 8;
            bytes += static_cast<char>(bits >> bitCount & 255U);
        }
    }
    return bytes;
}

} // namespace pistachiofall::store::detail
