#include "batch/jobsubmitter.h"

#include "batch/jobbodyreader.h"
#include "batch/jobcodec.h"
#include "batch/segmentcodec.h"
#include "batch/storecalls.h"
#include "store/writeoutcome.h"

#include <optional>
#include <utility>
#include <vector>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxKeyBytes = 256;

Result<Done> checkRequest(const Job &job)
{
    if (job.organisation.empty())
        return Error{ErrorCode::InvalidArgument, "the job has no organisation"};
    if (job.idempotencyKey.empty() || job.idempotencyKey.size() > MaxKeyBytes) {
        return Error{ErrorCode::InvalidArgument,
                     "the idempotency key has " + std::to_string(job.idempotencyKey.size())
                             + " bytes; allowed are 1 to " + std::to_string(MaxKeyBytes)};
    }
    return Done{};
}

// Stores the items as segments and adds the segments to the job.
asio::awaitable<Result<Done>> storeItems(std::shared_ptr<ObjectStore> store,
                                         std::vector<BatchItem> items, Job &job)
{
    std::vector<EncodedSegment> segments = encodeSegments(items);
    for (EncodedSegment &segment : segments) {
        if (job.segments.size() == MaxJobSegments) {
            co_return Error{ErrorCode::InvalidArgument,
                            "the job is too large; its items fill more than "
                                    + std::to_string(MaxJobSegments) + " segments"};
        }
        job.segments.push_back({segment.hash, segment.itemCount, std::nullopt});
        StoredObject object;
        object.name = segmentObjectName(job.id, segment.hash);
        object.labels = {{"kind", "segment"}, {"job", job.id.toString()}};
        object.data = std::move(segment.data);
        const auto stored = co_await batch::detail::putImmutable(store, std::move(object));
        if (!isOk(stored))
            co_return errorOf(stored);
    }
    co_return Done{};
}

// Reads the whole body. Stores its segments and adds them to the job, unless the job is known to
// exist.
asio::awaitable<Result<Done>> readBody(std::shared_ptr<ObjectStore> store,
                                       JobSubmitter::NextPiece nextPiece, bool exists, Job &job)
{
    JobBodyReader reader;
    for (bool isEnd = false; !isEnd;) {
        const auto piece = co_await nextPiece();
        if (!isOk(piece))
            co_return errorOf(piece);
        isEnd = valueOf(piece).empty();
        const auto added = isEnd ? reader.finish() : reader.add(valueOf(piece));
        if (!isOk(added))
            co_return errorOf(added);
        while (auto items = reader.takeSegment()) {
            if (exists)
                continue;
            const auto stored = co_await storeItems(store, *std::move(items), job);
            if (!isOk(stored))
                co_return errorOf(stored);
        }
    }
    job.bodyHash = reader.bodyHash();
    co_return Done{};
}

// Returns the existing job, or AlreadyExists if it has other items than the submitted one.
Result<SubmittedJob> acceptExisting(const Job &existing, const Job &submitted)
{
    if (existing.bodyHash != submitted.bodyHash) {
        return Error{ErrorCode::AlreadyExists,
                     "the idempotency key '" + submitted.idempotencyKey + "' belongs to job "
                             + existing.id.toString() + ", which has different items"};
    }
    return SubmittedJob{existing.id, existing.itemCount(), false};
}

// Handles AlreadyExists for the job object, which an earlier attempt of this submission may have
// created.
asio::awaitable<Result<SubmittedJob>> resolveExisting(std::shared_ptr<ObjectStore> store,
                                                      const Job &job)
{
    const auto existing = co_await batch::detail::getJob(store, job.id);
    if (!isOk(existing))
        co_return Error{ErrorCode::OutcomeUnknown, errorOf(existing).message};
    co_return acceptExisting(valueOf(existing).job, job);
}

asio::awaitable<Result<SubmittedJob>> createJob(std::shared_ptr<ObjectStore> store, const Job &job,
                                                std::size_t shardCount)
{
    const StoredObject object = encodeJob(job, shardCount);
    WriteOutcome outcome;
    for (int attempt = 1;; ++attempt) {
        const auto created = co_await store->create(object);
        if (isOk(created))
            co_return SubmittedJob{job.id, job.itemCount(), true};
        const Error failure = errorOf(created);
        if (failure.code == ErrorCode::AlreadyExists)
            co_return co_await resolveExisting(store, job);
        outcome.recordFailure(failure);
        if (!outcome.isUnknown() && !batch::detail::isRetryable(failure.code))
            co_return failure;
        if (attempt == batch::detail::MaxStoreAttempts)
            co_return outcome.failure();
        co_await batch::detail::waitBeforeRetry(attempt);
    }
}

Job makeJob(JobRequest request, const Clock &clock)
{
    Job job;
    job.id = JobId::of(request.organisation, request.idempotencyKey);
    job.organisation = std::move(request.organisation);
    job.idempotencyKey = std::move(request.idempotencyKey);
    job.due = std::chrono::floor<milliseconds>(request.due);
    job.created = std::chrono::floor<milliseconds>(clock.wallNow());
    return job;
}

asio::awaitable<Result<SubmittedJob>> submitJob(std::shared_ptr<ObjectStore> store,
                                                std::size_t shardCount, Job job,
                                                JobSubmitter::NextPiece nextPiece)
{
    const auto checked = checkRequest(job);
    if (!isOk(checked))
        co_return errorOf(checked);
    const auto existing = co_await batch::detail::getJob(store, job.id);
    if (!isOk(existing) && errorOf(existing).code != ErrorCode::NotFound)
        co_return Error{ErrorCode::Unavailable, errorOf(existing).message};
    const bool exists = isOk(existing);
    if (exists && valueOf(existing).job.state == JobState::Expired)
        co_return Error{ErrorCode::Unavailable,
                        "an earlier job with the idempotency key '" + job.idempotencyKey
                                + "' is being removed"};
    const auto read = co_await readBody(store, std::move(nextPiece), exists, job);
    if (!isOk(read))
        co_return errorOf(read);
    if (exists)
        co_return acceptExisting(valueOf(existing).job, job);
    co_return co_await createJob(std::move(store), job, shardCount);
}

} // namespace

JobSubmitter::JobSubmitter(std::shared_ptr<ObjectStore> store, std::size_t shardCount,
                           const Clock &clock)
    : m_store(std::move(store))
    , m_shardCount(shardCount)
    , m_clock(clock)
{ }

asio::awaitable<Result<SubmittedJob>> JobSubmitter::submit(JobRequest request, NextPiece nextPiece)
{
    return submitJob(m_store, m_shardCount, makeJob(std::move(request), m_clock),
                     std::move(nextPiece));
}

} // namespace pistachiofall
