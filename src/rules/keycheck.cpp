#include "rules/keycheck.h"

#include "rules/ruletext.h"
#include "rules/sha256.h"

#include <optional>

#include <openssl/crypto.h>

namespace pistachiofall {

namespace {

struct KeyParts
{
    std::string_view id;
    std::string_view secret;
};

/// The secret is hex digits, so the last '_' ends the id.
std::optional<KeyParts> splitKey(std::string_view key)
{
    constexpr std::string_view Prefix = "pf_";
    constexpr std::size_t MaxSecretBytes = 128;
    if (!key.starts_with(Prefix))
        return std::nullopt;
    key.remove_prefix(Prefix.size());
    const std::size_t separator = key.rfind('_');
    if (separator == std::string_view::npos)
        return std::nullopt;
    const KeyParts parts{key.substr(0, separator), key.substr(separator + 1)};
    if (!detail::isRuleName(parts.id) || parts.secret.empty()
        || parts.secret.size() > MaxSecretBytes)
        return std::nullopt;
    return parts;
}

} // namespace

Result<const KeyRule *> checkKey(const RuleSet &rules, std::string_view presented)
{
    static const KeyRule noKey{};
    const Error invalid{ErrorCode::Unauthenticated, "the key is not valid"};
    const auto parts = splitKey(presented);
    if (!parts)
        return invalid;
    const KeyRule *found = rules.key(parts->id);
    const KeyRule &rule = found == nullptr ? noKey : *found;
    const KeyDigest digest = detail::sha256({rule.salt, detail::bytesOf(parts->secret)});
    const bool isEqual = CRYPTO_memcmp(digest.data(), rule.digest.data(), digest.size()) == 0;
    if (!isEqual || found == nullptr)
        return invalid;
    if (found->withdrawn)
        return Error{ErrorCode::Unauthenticated, "the key is withdrawn"};
    return found;
}

bool isKeyStillValid(const RuleSet &rules, const KeyRule &accepted)
{
    const KeyRule *rule = rules.key(accepted.name);
    return rule != nullptr && !rule->withdrawn && rule->organisation == accepted.organisation
            && rule->salt == accepted.salt && rule->digest == accepted.digest;
}

} // namespace pistachiofall
