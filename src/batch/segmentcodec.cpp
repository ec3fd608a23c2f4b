#include "batch/segmentcodec.h"

#include "batch/blobcodec.h"
#include "batch/bytereader.h"
#include "batch/bytewriter.h"
#include "batch/contenthasher.h"

#include <utility>

namespace pistachiofall {

using batch::detail::BlobKind;
using batch::detail::ByteReader;
using batch::detail::ByteWriter;

namespace {

constexpr std::size_t MaxContentBytes = MaxSegmentItems * (MaxItemBytes + 16);

std::string encodeItems(std::span<const BatchItem> items)
{
    ByteWriter writer;
    writer.number(items.size());
    for (const BatchItem &item : items) {
        writer.text(item.customId);
        writer.text(item.path);
        writer.text(item.body);
    }
    return writer.take();
}

} // namespace

std::vector<EncodedSegment> encodeSegments(std::span<const BatchItem> items)
{
    const std::string content = encodeItems(items);
    std::string data = batch::detail::encodeBlob(BlobKind::Segment, content);
    if (data.size() <= MaxSegmentBytes || items.size() <= 1) {
        EncodedSegment segment{hashOf(content), static_cast<std::uint32_t>(items.size()),
                               std::move(data)};
        return {std::move(segment)};
    }
    const std::size_t half = items.size() / 2;
    std::vector<EncodedSegment> segments = encodeSegments(items.first(half));
    for (EncodedSegment &segment : encodeSegments(items.subspan(half)))
        segments.push_back(std::move(segment));
    return segments;
}

Result<std::vector<BatchItem>> decodeSegment(std::string_view data, const ContentHash &hash)
{
    const auto content = batch::detail::decodeBlob(BlobKind::Segment, data, MaxContentBytes);
    if (!isOk(content))
        return errorOf(content);
    if (hashOf(valueOf(content)) != hash)
        return Error{ErrorCode::ProtocolError,
                     "the segment's content does not have the hash " + hash.hex()};
    ByteReader reader(valueOf(content));
    std::vector<BatchItem> items(reader.number(MaxSegmentItems));
    for (BatchItem &item : items) {
        item.customId = reader.text(MaxCustomIdBytes);
        item.path = reader.text(MaxItemPathBytes);
        item.body = reader.text(MaxItemBytes);
    }
    if (!reader.isComplete())
        return Error{ErrorCode::ProtocolError, "segment " + hash.hex() + " is malformed"};
    return items;
}

std::string segmentObjectName(const JobId &job, const ContentHash &hash)
{
    return "segment-" + job.toString() + "-" + hash.hex();
}

} // namespace pistachiofall
