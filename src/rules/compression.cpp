#include "rules/compression.h"

#include <cstdlib>
#include <memory>

#include <zstd.h>

namespace pistachiofall::detail {

std::string compress(std::string_view text)
{
    constexpr int Level = 6;
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(),
                                                                       &ZSTD_freeCCtx);
    std::string data(ZSTD_compressBound(text.size()), '\0');
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, Level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    const std::size_t size =
            ZSTD_compress2(context.get(), data.data(), data.size(), text.data(), text.size());
    // The buffer has the greatest size needed, so this fails only without memory.
    if (ZSTD_isError(size) != 0)
        std::abort();
    data.resize(size);
    return data;
}

Result<std::string> decompress(std::string_view data, std::size_t maxBytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(data.data(), data.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxBytes)
        return Error{ErrorCode::ProtocolError,
                     "the data is not a compressed text of accepted size"};
    std::string text(size, '\0');
    const std::size_t written = ZSTD_decompress(text.data(), text.size(), data.data(), data.size());
    if (ZSTD_isError(written) != 0 || written != text.size())
        return Error{ErrorCode::ProtocolError, "the compressed data is damaged"};
    return text;
}

} // namespace pistachiofall::detail
