#include "batch/contenthasher.h"

#include <algorithm>
#include <cstdlib>

#include <openssl/evp.h>

namespace pistachiofall {

namespace {

// SHA-256 of OpenSSL fails only when memory is exhausted or the installation is broken.
void abortOnError(int result)
{
    if (result != 1)
        std::abort();
}

} // namespace

struct ContentHasher::Data
{
    Data()
        : context(EVP_MD_CTX_new())
    {
        abortOnError(EVP_DigestInit_ex(context, EVP_sha256(), nullptr));
    }

    ~Data() { EVP_MD_CTX_free(context); }
    Data(const Data &) = delete;
    Data &operator=(const Data &) = delete;

    EVP_MD_CTX *context;
};

ContentHasher::ContentHasher()
    : m_data(std::make_unique<Data>())
{ }

ContentHasher::~ContentHasher() = default;

void ContentHasher::add(std::string_view bytes)
{
    abortOnError(EVP_DigestUpdate(m_data->context, bytes.data(), bytes.size()));
}

void ContentHasher::addText(std::string_view text)
{
    const std::uint64_t length = text.size();
    std::array<char, sizeof(length)> bytes{};
    for (std::size_t index = 0; index < bytes.size(); ++index)
        bytes[index] = static_cast<char>(length >> (8 * index) & 0xffU);
    add({bytes.data(), bytes.size()});
    add(text);
}

ContentHash ContentHasher::finish()
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    abortOnError(EVP_DigestFinal_ex(m_data->context, digest.data(), nullptr));
    ContentHash hash;
    std::copy_n(digest.begin(), ContentHash::Size, hash.bytes.begin());
    return hash;
}

ContentHash hashOf(std::string_view bytes)
{
    ContentHasher hasher;
    hasher.add(bytes);
    return hasher.finish();
}

} // namespace pistachiofall
