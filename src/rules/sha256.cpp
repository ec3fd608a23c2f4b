#include "rules/sha256.h"

#include <cstdlib>
#include <memory>

#include <openssl/evp.h>

namespace pistachiofall::detail {

KeyDigest sha256(std::initializer_list<std::span<const unsigned char>> parts)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(),
                                                                          &EVP_MD_CTX_free);
    bool isGood =
            context != nullptr && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
    for (const auto part : parts)
        isGood = isGood && EVP_DigestUpdate(context.get(), part.data(), part.size()) == 1;
    KeyDigest digest{};
    isGood = isGood && EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) == 1;
    // Fails only without memory. A digest of zeros could then match a rule, so there is no going
    // on.
    if (!isGood)
        std::abort();
    return digest;
}

std::span<const unsigned char> bytesOf(std::string_view text)
{
    return {reinterpret_cast<const unsigned char *>(text.data()), text.size()};
}

} // namespace pistachiofall::detail
