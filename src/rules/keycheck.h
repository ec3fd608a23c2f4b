#pragma once

#include "base/result.h"
#include "rules/keyrule.h"
#include "rules/ruleset.h"

#include <string_view>

namespace pistachiofall {

/// Finds the rule of a key "pf_KEYID_SECRET". Unauthenticated for a malformed, unknown, wrong or
/// withdrawn key, with no part of the key in the message. An unknown key id costs the same hash and
/// comparison as a known one, so that the time does not tell which ids exist. The pointer is valid
/// as long as the rules.
Result<const KeyRule *> checkKey(const RuleSet &rules, std::string_view presented);

/// Whether a key that was accepted under earlier rules still is under these: it is there, not
/// withdrawn, of the same organisation and with the same secret.
bool isKeyStillValid(const RuleSet &rules, const KeyRule &accepted);

} // namespace pistachiofall
