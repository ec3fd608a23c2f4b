#include "batch/contenthash.h"

#include <algorithm>

namespace pistachiofall {

namespace {

constexpr std::string_view Digits = "0123456789abcdef";

} // namespace

std::optional<ContentHash> ContentHash::fromRaw(std::string_view raw)
{
    if (raw.size() != Size)
        return std::nullopt;
    ContentHash hash;
    std::copy(raw.begin(), raw.end(), hash.bytes.begin());
    return hash;
}

std::optional<ContentHash> ContentHash::fromHex(std::string_view text)
{
    if (text.size() != 2 * Size)
        return std::nullopt;
    ContentHash hash;
    for (std::size_t index = 0; index < Size; ++index) {
        const auto high = Digits.find(text[2 * index]);
        const auto low = Digits.find(text[2 * index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return std::nullopt;
        hash.bytes[index] = static_cast<std::uint8_t>(high << 4U | low);
    }
    return hash;
}

std::string_view ContentHash::raw() const
{
    return {reinterpret_cast<const char *>(bytes.data()), Size};
}

std::string ContentHash::hex() const
{
    std::string text;
    text.reserve(2 * Size);
    for (const std::uint8_t byte : bytes) {
        text += Digits[byte >> 4U];
        text += Digits[byte & 0xfU];
    }
    return text;
}

} // namespace pistachiofall
