#include "rules/newkey.h"

#include "rules/linetokens.h"
#include "rules/ruletext.h"
#include "rules/sha256.h"

#include <openssl/rand.h>

namespace pistachiofall {

namespace {

constexpr std::size_t SecretBytes = 32;

Error badName(const char *what, const std::string &name)
{
    return {ErrorCode::InvalidArgument,
            std::string(what) + " " + detail::quoted(name)
                    + " is not accepted; accepted: " + std::string(detail::RuleNameForm)};
}

} // namespace

Result<NewKey> makeKey(const std::string &id, const std::string &organisation)
{
    if (!detail::isRuleName(id))
        return badName("key id", id);
    if (!detail::isRuleName(organisation))
        return badName("organisation name", organisation);
    std::array<unsigned char, SecretBytes> secretBytes{};
    NewKey key;
    if (RAND_bytes(secretBytes.data(), static_cast<int>(secretBytes.size())) != 1
        || RAND_bytes(key.rule.salt.data(), static_cast<int>(key.rule.salt.size())) != 1)
        return Error{ErrorCode::Internal, "the system gives no random bytes"};
    const std::string secret = detail::formatHex(secretBytes);
    key.clearKey = "pf_" + id + "_" + secret;
    key.rule.name = id;
    key.rule.organisation = organisation;
    key.rule.digest = detail::sha256({key.rule.salt, detail::bytesOf(secret)});
    return key;
}

} // namespace pistachiofall
