#include "batch/blobcodec.h"

#include "batch/contenthasher.h"

#include <cstdlib>

#include <zstd.h>

namespace pistachiofall::batch::detail {

namespace {

constexpr std::string_view Magic = "PFB1";
constexpr std::size_t HeaderBytes = Magic.size() + 1;
constexpr std::size_t HashBytes = 8;

Error blobError(BlobKind kind, const std::string &what)
{
    return {ErrorCode::ProtocolError,
            "stored batch data of kind " + std::to_string(static_cast<int>(kind)) + " " + what};
}

} // namespace

std::string encodeBlob(BlobKind kind, std::string_view content)
{
    std::string blob(Magic);
    blob += static_cast<char>(kind);
    blob.resize(HeaderBytes + ZSTD_compressBound(content.size()));
    const std::size_t size = ZSTD_compress(blob.data() + HeaderBytes, blob.size() - HeaderBytes,
                                           content.data(), content.size(), ZSTD_CLEVEL_DEFAULT);
    // The buffer has the size required by zstd, so compression only fails if memory is exhausted.
    if (ZSTD_isError(size) != 0U)
        std::abort();
    blob.resize(HeaderBytes + size);
    blob += hashOf(blob).raw().substr(0, HashBytes);
    return blob;
}

Result<std::string> decodeBlob(BlobKind kind, std::string_view blob, std::size_t maxContentBytes)
{
    if (blob.size() < HeaderBytes + HashBytes || !blob.starts_with(Magic))
        return blobError(kind, "has an unknown format");
    const std::string_view hash = blob.substr(blob.size() - HashBytes);
    blob.remove_suffix(HashBytes);
    if (hashOf(blob).raw().substr(0, HashBytes) != hash)
        return blobError(kind, "is corrupt");
    if (blob[Magic.size()] != static_cast<char>(kind))
        return blobError(kind,
                         "is of kind " + std::to_string(static_cast<int>(blob[Magic.size()])));
    blob.remove_prefix(HeaderBytes);
    const auto size = ZSTD_getFrameContentSize(blob.data(), blob.size());
    if (size > maxContentBytes)
        return blobError(kind,
                         "is larger than " + std::to_string(maxContentBytes) + " bytes or corrupt");
    std::string content(size, '\0');
    const std::size_t written =
            ZSTD_decompress(content.data(), content.size(), blob.data(), blob.size());
    if (written != size)
        return blobError(kind, "can not be decompressed");
    return content;
}

} // namespace pistachiofall::batch::detail
