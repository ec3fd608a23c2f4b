#pragma once

#include "base/result.h"
#include "rules/keyrule.h"

#include <string>

namespace pistachiofall {

/// A key that was just made. The clear key is shown once and stored nowhere.
struct NewKey
{
    /// "pf_KEYID_SECRET" with a secret of 256 random bits.
    std::string clearKey;
    /// What the rule line holds; the comment is empty.
    KeyRule rule;
};

/// Makes a key with a random secret and salt. InvalidArgument for a bad id or organisation name.
Result<NewKey> makeKey(const std::string &id, const std::string &organisation);

} // namespace pistachiofall
