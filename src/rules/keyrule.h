#pragma once

#include "rules/rulekind.h"

#include <array>
#include <cstddef>
#include <string>

namespace pistachiofall {

inline constexpr std::size_t KeySaltBytes = 16;
inline constexpr std::size_t KeyDigestBytes = 32;

using KeySalt = std::array<unsigned char, KeySaltBytes>;
using KeyDigest = std::array<unsigned char, KeyDigestBytes>;

/// A key of an organisation. The secret itself is not stored.
struct KeyRule
{
    static constexpr RuleKind Kind = RuleKind::Key;

    /// The KEYID of "pf_KEYID_SECRET".
    std::string name;
    std::string organisation;
    KeySalt salt{};
    /// The SHA-256 of the salt followed by the secret.
    KeyDigest digest{};
    bool withdrawn = false;
    /// "by NAME: reason".
    std::string comment;

    bool operator==(const KeyRule &) const = default;
};

} // namespace pistachiofall
