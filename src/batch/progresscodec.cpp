#include "batch/progresscodec.h"

#include "batch/blobcodec.h"
#include "batch/bytereader.h"
#include "batch/bytewriter.h"
#include "batch/jobcodec.h"
#include "batch/resultscodec.h"
#include "batch/segmentcodec.h"

#include <limits>
#include <set>
#include <utility>

namespace pistachiofall {

using batch::detail::BlobKind;
using batch::detail::ByteReader;
using batch::detail::ByteWriter;

namespace {

constexpr std::size_t MaxContentBytes = std::size_t{1} << 30U;
constexpr std::size_t MaxOwnerBytes = 512;
constexpr std::size_t MaxChunks = 10'000;

// Writes ascending item indices as differences, which usually take one byte each.
template<typename Items>
void writeItems(ByteWriter &writer, const Items &items)
{
    writer.number(items.size());
    std::uint32_t previous = 0;
    for (const std::uint32_t item : items) {
        writer.number(item - previous);
        previous = item;
    }
}

std::vector<std::uint32_t> readItems(ByteReader &reader, std::uint32_t itemCount)
{
    std::vector<std::uint32_t> items(reader.number(itemCount));
    std::uint64_t previous = 0;
    for (std::uint32_t &item : items) {
        previous += reader.number(itemCount - 1 - previous);
        item = static_cast<std::uint32_t>(previous);
    }
    return items;
}

void writePart(ByteWriter &writer, const ResultPart &part)
{
    writer.number(part.chunks.size());
    for (const ContentHash &chunk : part.chunks)
        writer.raw(chunk.raw());
    writeItems(writer, part.items);
    writer.number(part.failed);
}

ResultPart readPart(ByteReader &reader, std::uint32_t itemCount)
{
    ResultPart part;
    part.chunks.resize(reader.number(MaxChunks));
    for (ContentHash &chunk : part.chunks) {
        chunk = ContentHash::fromRaw(reader.raw(ContentHash::Size)).value_or(ContentHash{});
        if (reader.hasFailed())
            break;
    }
    part.items = readItems(reader, itemCount);
    part.failed = static_cast<std::uint32_t>(reader.number(part.items.size()));
    return part;
}

// Returns whether every item has at most one result and no item in started has one.
bool isConsistent(const Progress &progress)
{
    std::set<std::uint32_t> seen(progress.started);
    for (const auto &[item, result] : progress.results) {
        if (!seen.insert(item).second)
            return false;
    }
    for (const ResultPart &part : progress.parts) {
        for (const std::uint32_t item : part.items) {
            if (!seen.insert(item).second)
                return false;
        }
    }
    return true;
}

} // namespace

std::string progressObjectName(const JobId &job, std::uint32_t segment)
{
    return "progress-" + job.toString() + "-" + std::to_string(segment);
}

StoredObject encodeProgress(const JobId &job, std::uint32_t segment, const Progress &progress)
{
    ByteWriter writer;
    writer.raw(job.hash().raw());
    writer.number(segment);
    writer.text(progress.claim.owner);
    writer.number(progress.claim.epoch);
    writer.number(progress.isClosed ? 1 : 0);
    writer.number(progress.itemCount);
    writeItems(writer, progress.started);
    writer.number(progress.parts.size());
    for (const ResultPart &part : progress.parts)
        writePart(writer, part);
    batch::detail::writeResults(writer, progress.results);
    StoredObject object;
    object.name = progressObjectName(job, segment);
    object.labels = {{"kind", "progress"}, {"job", job.toString()}};
    object.data = batch::detail::encodeBlob(BlobKind::Progress, writer.bytes());
    return object;
}

Result<Progress> decodeProgress(const JobId &job, std::uint32_t segment, const StoredObject &object)
{
    const auto content =
            batch::detail::decodeBlob(BlobKind::Progress, object.data, MaxContentBytes);
    if (!isOk(content))
        return errorOf(content);
    ByteReader reader(valueOf(content));
    const auto id = ContentHash::fromRaw(reader.raw(ContentHash::Size));
    const bool isSame = id && *id == job.hash() && reader.number(MaxJobSegments) == segment;
    Progress progress;
    progress.claim.owner = reader.text(MaxOwnerBytes);
    progress.claim.epoch = reader.number(std::numeric_limits<std::uint64_t>::max());
    progress.isClosed = reader.number(1) == 1;
    progress.itemCount = static_cast<std::uint32_t>(reader.number(MaxSegmentItems));
    const auto started = readItems(reader, progress.itemCount);
    progress.started.insert(started.begin(), started.end());
    progress.parts.resize(reader.number(progress.itemCount));
    for (ResultPart &part : progress.parts)
        part = readPart(reader, progress.itemCount);
    progress.results = batch::detail::readResults(reader, progress.itemCount);
    if (!isSame || !reader.isComplete() || !isConsistent(progress)) {
        return Error{ErrorCode::ProtocolError,
                     "the progress object '" + object.name + "' is malformed"};
    }
    return progress;
}

} // namespace pistachiofall
