#include "batch/resultscodec.h"

#include "batch/blobcodec.h"
#include "batch/contenthasher.h"
#include "batch/segmentcodec.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

using batch::detail::BlobKind;
using batch::detail::ByteReader;
using batch::detail::ByteWriter;

namespace {

// Below the store's limit of 750,000 bytes per object.
constexpr std::size_t ChunkBytes = 700'000;

// Maximum size of a stored answer. The limit of the endpoint client is lower.
constexpr std::size_t MaxResultBytes = std::size_t{64} << 20U;
constexpr std::size_t MaxPartBytes = std::size_t{1} << 30U;
constexpr std::uint64_t MaxStatus = 999;

enum class ContentKind : std::uint8_t {
    Json,
    Text,
    Error,
};

} // namespace

namespace batch::detail {

void writeResults(ByteWriter &writer, const ResultMap &results)
{
    writer.number(results.size());
    for (const auto &[item, result] : results) {
        writer.number(item);
        writer.number(result->status);
        if (const auto *body = std::get_if<ResultBody>(&result->content)) {
            writer.number(static_cast<std::uint64_t>(body->isJson ? ContentKind::Json
                                                                  : ContentKind::Text));
            writer.text(body->text);
            continue;
        }
        const auto &error = std::get<ResultError>(result->content);
        writer.number(static_cast<std::uint64_t>(ContentKind::Error));
        writer.text(error.code);
        writer.text(error.message);
    }
}

ResultMap readResults(ByteReader &reader, std::uint32_t itemCount)
{
    ResultMap results;
    const std::uint64_t count = reader.number(itemCount);
    for (std::uint64_t read = 0; read < count && !reader.hasFailed(); ++read) {
        const auto item = static_cast<std::uint32_t>(reader.number(itemCount - 1));
        ItemResult result;
        result.status = static_cast<std::uint16_t>(reader.number(MaxStatus));
        const auto kind = static_cast<ContentKind>(
                reader.number(static_cast<std::uint64_t>(ContentKind::Error)));
        std::string text = reader.text(MaxResultBytes);
        if (kind == ContentKind::Error)
            result.content = ResultError{std::move(text), reader.text(MaxResultBytes)};
        else
            result.content = ResultBody{std::move(text), kind == ContentKind::Json};
        results.emplace(item, std::make_shared<const ItemResult>(std::move(result)));
    }
    return results;
}

} // namespace batch::detail

EncodedPart encodePart(const ResultMap &results)
{
    EncodedPart encoded;
    for (const auto &[item, result] : results) {
        encoded.part.items.push_back(item);
        encoded.part.failed += result->isFailed() ? 1 : 0;
    }
    ByteWriter writer;
    batch::detail::writeResults(writer, results);
    const std::string data = batch::detail::encodeBlob(BlobKind::Results, writer.bytes());
    for (std::size_t at = 0; at < data.size(); at += ChunkBytes) {
        encoded.chunks.push_back(data.substr(at, ChunkBytes));
        encoded.part.chunks.push_back(hashOf(encoded.chunks.back()));
    }
    return encoded;
}

Result<ResultMap> decodePart(std::string_view data, std::uint32_t itemCount)
{
    const auto content = batch::detail::decodeBlob(BlobKind::Results, data, MaxPartBytes);
    if (!isOk(content))
        return errorOf(content);
    ByteReader reader(valueOf(content));
    ResultMap results = batch::detail::readResults(reader, itemCount);
    if (!reader.isComplete())
        return Error{ErrorCode::ProtocolError, "a stored result part is malformed"};
    return results;
}

std::string chunkObjectName(const JobId &job, const ContentHash &hash)
{
    return "results-" + job.toString() + "-" + hash.hex();
}

} // namespace pistachiofall
