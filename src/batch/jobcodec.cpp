#include "batch/jobcodec.h"

#include "batch/blobcodec.h"
#include "batch/bytereader.h"
#include "batch/bytewriter.h"

#include <limits>

namespace pistachiofall {

using batch::detail::BlobKind;
using batch::detail::ByteReader;
using batch::detail::ByteWriter;
using std::chrono::milliseconds;
using std::chrono::system_clock;

namespace {

constexpr std::size_t MaxContentBytes = 4'000'000;
constexpr std::size_t MaxTextBytes = 4'096;
constexpr std::uint64_t MaxMilliseconds = std::numeric_limits<std::int64_t>::max() / 1'000'000;
constexpr std::uint64_t LastState = static_cast<std::uint64_t>(JobState::Expired);

void writeTime(ByteWriter &writer, system_clock::time_point time)
{
    const auto count = std::chrono::floor<milliseconds>(time.time_since_epoch()).count();
    writer.number(count < 0 ? 0 : static_cast<std::uint64_t>(count));
}

system_clock::time_point readTime(ByteReader &reader)
{
    return system_clock::time_point{
            milliseconds{static_cast<std::int64_t>(reader.number(MaxMilliseconds))}};
}

ContentHash readHash(ByteReader &reader)
{
    return ContentHash::fromRaw(reader.raw(ContentHash::Size)).value_or(ContentHash{});
}

void writeSegment(ByteWriter &writer, const JobSegment &segment)
{
    writer.raw(segment.hash.raw());
    writer.number(segment.itemCount);
    writer.number(segment.finished ? 1 : 0);
    if (segment.finished) {
        writer.number(segment.finished->done);
        writer.number(segment.finished->failed);
    }
}

JobSegment readSegment(ByteReader &reader)
{
    JobSegment segment;
    segment.hash = readHash(reader);
    segment.itemCount = static_cast<std::uint32_t>(reader.number(MaxJobItems));
    if (reader.number(1) == 1) {
        ResultCounts counts;
        counts.done = static_cast<std::uint32_t>(reader.number(segment.itemCount));
        counts.failed = static_cast<std::uint32_t>(reader.number(counts.done));
        segment.finished = counts;
    }
    return segment;
}

std::string jobsSelector(const std::string &active, const std::vector<std::uint32_t> &shards)
{
    std::string selector = "kind=job,active=" + active + ",shard in (";
    for (const std::uint32_t shard : shards) {
        if (selector.back() != '(')
            selector += ',';
        selector += std::to_string(shard);
    }
    return selector + ')';
}

} // namespace

std::string jobObjectName(const JobId &id)
{
    return "job-" + id.toString();
}

StoredObject encodeJob(const Job &job, std::size_t shardCount)
{
    ByteWriter writer;
    writer.raw(job.id.hash().raw());
    writer.text(job.organisation);
    writer.text(job.idempotencyKey);
    writer.raw(job.bodyHash.raw());
    writeTime(writer, job.due);
    writeTime(writer, job.created);
    writer.number(static_cast<std::uint64_t>(job.state));
    writer.number(job.isActive ? 1 : 0);
    writer.number(job.segments.size());
    for (const JobSegment &segment : job.segments)
        writeSegment(writer, segment);
    if (job.ended)
        writeTime(writer, *job.ended);
    StoredObject object;
    object.name = jobObjectName(job.id);
    object.labels = {{"kind", "job"},
                     {"shard", std::to_string(job.id.shard(shardCount))},
                     {"state", std::string(toString(job.state))},
                     {"active", job.isActive ? "yes" : "no"}};
    object.data = batch::detail::encodeBlob(BlobKind::Job, writer.bytes());
    return object;
}

Result<Job> decodeJob(const StoredObject &object)
{
    const auto content = batch::detail::decodeBlob(BlobKind::Job, object.data, MaxContentBytes);
    if (!isOk(content))
        return errorOf(content);
    ByteReader reader(valueOf(content));
    Job job;
    job.id = JobId::fromHash(readHash(reader));
    job.organisation = reader.text(MaxTextBytes);
    job.idempotencyKey = reader.text(MaxTextBytes);
    job.bodyHash = readHash(reader);
    job.due = readTime(reader);
    job.created = readTime(reader);
    job.state = static_cast<JobState>(reader.number(LastState));
    job.isActive = reader.number(1) == 1;
    job.segments.resize(reader.number(MaxJobSegments));
    for (JobSegment &segment : job.segments)
        segment = readSegment(reader);
    if (!job.isActive && !reader.isComplete())
        job.ended = readTime(reader);
    if (!reader.isComplete() || object.name != jobObjectName(job.id))
        return Error{ErrorCode::ProtocolError, "the job object '" + object.name + "' is malformed"};
    return job;
}

std::string activeJobsSelector(const std::vector<std::uint32_t> &shards)
{
    return jobsSelector("yes", shards);
}

std::string inactiveJobsSelector(const std::vector<std::uint32_t> &shards)
{
    return jobsSelector("no", shards);
}

} // namespace pistachiofall
