#include "batch/blobcodec.h"
#include "batch/contenthasher.h"
#include "batch/jobcodec.h"
#include "batch/progresscodec.h"
#include "batch/resultscodec.h"
#include "batch/segmentcodec.h"

#include "batch/samples.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using batch::detail::BlobKind;

namespace {

std::vector<BatchItem> makeItems(std::size_t count, std::size_t size)
{
    std::mt19937_64 random(5);
    std::vector<BatchItem> items;
    for (std::size_t item = 0; item < count; ++item)
        items.push_back(
                tests::makeItem("id-" + std::to_string(item), tests::randomWords(random, size)));
    return items;
}

Progress makeProgress()
{
    Progress progress;
    progress.claim = {"east-a-1#7", 12};
    progress.itemCount = 500;
    progress.started = {3, 499};
    progress.parts = {{{hashOf("x"), hashOf("y")}, {0, 7, 8}, 2}};
    progress.results = {{1, tests::makeAnswer("{\"a\":1}")},
                        {2,
                         std::make_shared<const ItemResult>(
                                 ItemResult{503, ResultError{"unavailable", "no endpoint"}})}};
    return progress;
}

// Checks that the decoder rejects the data with any one byte changed, truncated to any length, or
// with a byte appended.
template<typename Decode>
void checkDetectsDamage(const std::string &data, const Decode &decode)
{
    CHECK(decode(data));
    for (std::size_t at = 0; at < data.size(); ++at) {
        std::string damaged = data;
        damaged[at] = static_cast<char>(damaged[at] ^ (1 << (at % 8)));
        CHECK_FALSE(decode(damaged));
        CHECK_FALSE(decode(data.substr(0, at)));
    }
    CHECK_FALSE(decode(data + '\0'));
}

} // namespace

TEST_GROUP(BatchCodec)
{
    const JobId id = JobId::of("acme", "k1");
};

TEST(BatchCodec, SegmentRoundTrip)
{
    const auto items = makeItems(500, 1000);
    const auto segments = encodeSegments(items);
    CHECK_EQUAL(1U, segments.size());
    CHECK_EQUAL(500U, segments[0].itemCount);
    const auto decoded = decodeSegment(segments[0].data, segments[0].hash);
    CHECK(isOk(decoded));
    CHECK(valueOf(decoded) == items);
}

// Guards against a segment that exceeds the size limit of the store.
TEST(BatchCodec, SegmentsStayBelowTheLimit)
{
    const auto items = makeItems(40, 100'000);
    std::vector<BatchItem> decoded;
    for (const EncodedSegment &segment : encodeSegments(items)) {
        CHECK(segment.data.size() <= MaxSegmentBytes);
        for (BatchItem &item : valueOf(decodeSegment(segment.data, segment.hash)))
            decoded.push_back(std::move(item));
    }
    CHECK(decoded == items);
}

// Guards against a segment stored under the name of another segment.
TEST(BatchCodec, SegmentMustHaveItsHash)
{
    const auto segment = encodeSegments(makeItems(2, 10))[0];
    CHECK_FALSE(isOk(decodeSegment(segment.data, hashOf("other"))));
}

TEST(BatchCodec, JobRoundTrip)
{
    Job job = tests::makeJob("acme", "k1", {500, 500, 13});
    job.state = JobState::Cancelled;
    job.isActive = false;
    job.bodyHash = hashOf("body");
    job.segments[1].finished = ResultCounts{500, 2};
    const StoredObject object = encodeJob(job, 256);
    STRCMP_EQUAL(("job-" + id.toString()).c_str(), object.name.c_str());
    STRCMP_EQUAL("cancelled", object.labels.at("state").c_str());
    STRCMP_EQUAL("no", object.labels.at("active").c_str());
    STRCMP_EQUAL(std::to_string(id.shard(256)).c_str(), object.labels.at("shard").c_str());
    const auto decoded = decodeJob(object);
    CHECK(isOk(decoded));
    CHECK(valueOf(decoded) == job);
    CHECK_EQUAL(1013U, valueOf(decoded).itemCount());
}

// Guards against a job of 520,000 items that does not fit into one store object.
TEST(BatchCodec, LargestJobFitsAnObject)
{
    Job job = tests::makeJob("acme", "k1", {});
    std::mt19937_64 random(9);
    for (std::size_t segment = 0; segment < MaxJobSegments; ++segment) {
        JobSegment entry{hashOf(std::to_string(random())), 500, ResultCounts{500, 3}};
        job.segments.push_back(entry);
    }
    const StoredObject object = encodeJob(job, 256);
    CHECK(object.data.size() <= 750'000);
    CHECK(isOk(decodeJob(object)));
}

TEST(BatchCodec, ProgressRoundTrip)
{
    const Progress progress = makeProgress();
    const StoredObject object = encodeProgress(id, 4, progress);
    const auto decoded = decodeProgress(id, 4, object);
    CHECK(isOk(decoded));
    const Progress &found = valueOf(decoded);
    CHECK(found.claim == progress.claim);
    CHECK(found.started == progress.started);
    CHECK(found.parts == progress.parts);
    CHECK_EQUAL(2U, found.results.size());
    CHECK(*found.results.at(1) == *progress.results.at(1));
    CHECK(*found.results.at(2) == *progress.results.at(2));
    CHECK(found.counts() == (ResultCounts{5, 3}));
    CHECK_FALSE(isOk(decodeProgress(id, 5, object)));
    CHECK_FALSE(isOk(decodeProgress(JobId::of("acme", "k2"), 4, object)));
}

// Guards against an item with two results, of which a reader could return either.
TEST(BatchCodec, ProgressWithTwoResultsOfAnItemIsRejected)
{
    Progress progress = makeProgress();
    progress.parts[0].items = {1};
    CHECK_FALSE(isOk(decodeProgress(id, 4, encodeProgress(id, 4, progress))));
    progress = makeProgress();
    progress.started.insert(7);
    CHECK_FALSE(isOk(decodeProgress(id, 4, encodeProgress(id, 4, progress))));
}

// Guards against a result that does not fit into one store object.
TEST(BatchCodec, PartOfLargeResultsRoundTrip)
{
    std::string text(2'000'000, '\0');
    std::mt19937_64 random(3);
    for (char &character : text)
        character = static_cast<char>(random());
    const ResultMap results{
            {4, std::make_shared<const ItemResult>(ItemResult{200, ResultBody{text, false}})},
            {9, tests::makeAnswer("{}")}};
    const EncodedPart encoded = encodePart(results);
    CHECK_EQUAL(3U, encoded.chunks.size());
    CHECK(encoded.part.items == (std::vector<std::uint32_t>{4, 9}));
    std::string joined;
    for (std::size_t chunk = 0; chunk < encoded.chunks.size(); ++chunk) {
        CHECK(encoded.chunks[chunk].size() <= 750'000);
        CHECK(hashOf(encoded.chunks[chunk]) == encoded.part.chunks[chunk]);
        joined += encoded.chunks[chunk];
    }
    const auto decoded = decodePart(joined, 10);
    CHECK(isOk(decoded));
    CHECK(*valueOf(decoded).at(4) == *results.at(4));
    CHECK_FALSE(isOk(decodePart(joined, 9)));
}

// Guards against corrupt data that is decoded as other items, results or states.
TEST(BatchCodec, DetectsAnyDamage)
{
    const auto segment = encodeSegments(makeItems(2, 40))[0];
    checkDetectsDamage(segment.data, [&](const std::string &data) {
        return isOk(decodeSegment(data, segment.hash));
    });
    StoredObject job = encodeJob(tests::makeJob("acme", "k1", {500, 13}), 256);
    checkDetectsDamage(job.data, [&](const std::string &data) {
        job.data = data;
        return isOk(decodeJob(job));
    });
    StoredObject progress = encodeProgress(id, 4, makeProgress());
    checkDetectsDamage(progress.data, [&](const std::string &data) {
        progress.data = data;
        return isOk(decodeProgress(id, 4, progress));
    });
    const EncodedPart part = encodePart({{4, tests::makeAnswer("{\"a\":1}")}});
    checkDetectsDamage(part.chunks[0],
                       [&](const std::string &data) { return isOk(decodePart(data, 10)); });
}

// Guards against a small object that decompresses to gigabytes, and against decoding a blob of one
// kind as another.
TEST(BatchCodec, BlobChecksSizeAndKind)
{
    const std::string blob = batch::detail::encodeBlob(BlobKind::Job, std::string(100'000, 'x'));
    CHECK(isOk(batch::detail::decodeBlob(BlobKind::Job, blob, 100'000)));
    CHECK_FALSE(isOk(batch::detail::decodeBlob(BlobKind::Job, blob, 99'999)));
    CHECK_FALSE(isOk(batch::detail::decodeBlob(BlobKind::Progress, blob, 100'000)));
}
