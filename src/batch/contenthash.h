#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiofall {

/// The first 128 bits of a SHA-256 digest. Used for content-addressed object names.
struct ContentHash
{
    static constexpr std::size_t Size = 16;

    std::array<std::uint8_t, Size> bytes{};

    /// Returns nullopt unless raw has exactly Size bytes.
    static std::optional<ContentHash> fromRaw(std::string_view raw);

    /// Parses the 32 lower-case hexadecimal digits returned by hex(). Returns nullopt for anything
    /// else.
    static std::optional<ContentHash> fromHex(std::string_view text);

    std::string_view raw() const;
    std::string hex() const;

    bool operator==(const ContentHash &) const = default;
    bool operator<(const ContentHash &other) const { return bytes < other.bytes; }
};

} // namespace pistachiofall
