#include "batch/removeexpiredjobs.h"

#include "batch/jobcodec.h"
#include "batch/progresscodec.h"
#include "batch/resultscodec.h"
#include "batch/segmentcodec.h"

#include <string>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall {

namespace asio = boost::asio;

namespace {

// Delay between the removals of two segments. Limits an instance that removes a job of many
// segments to less than about 30 writes/s.
constexpr std::chrono::milliseconds SegmentRemovalDelay{100};

/// Name of an object and the version in which it may be removed.
struct ObjectVersion
{
    std::string name;
    std::string version;
};

asio::awaitable<void> waitBetweenSegments()
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, SegmentRemovalDelay);
    co_await timer.async_wait(asio::use_awaitable);
}

// Marks the job as expired and returns it with its new version. Returns Conflict if the job has
// been changed concurrently.
asio::awaitable<Result<StoredJob>> markExpired(std::shared_ptr<ObjectStore> store, StoredJob stored,
                                               std::size_t shardCount)
{
    if (stored.job.state == JobState::Expired)
        co_return stored;
    stored.job.state = JobState::Expired;
    StoredObject object = encodeJob(stored.job, shardCount);
    object.version = stored.version;
    const auto updated = co_await store->update(std::move(object));
    if (!isOk(updated))
        co_return errorOf(updated);
    stored.version = valueOf(updated).version;
    co_return stored;
}

// Reads the version of an object and adds it to the list. Adds nothing if the object does not
// exist.
asio::awaitable<Result<Done>> addObjectVersion(std::shared_ptr<ObjectStore> store, std::string name,
                                               std::vector<ObjectVersion> &objects)
{
    const auto object = co_await store->get(std::move(name));
    if (isOk(object))
        objects.push_back({valueOf(object).name, valueOf(object).version});
    else if (errorOf(object).code != ErrorCode::NotFound)
        co_return errorOf(object);
    co_return Done{};
}

// Returns the objects of a segment. The progress object comes last, because it refers to the chunks
// of the results.
asio::awaitable<Result<std::vector<ObjectVersion>>>
listSegmentObjects(std::shared_ptr<ObjectStore> store, const Job &job, std::uint32_t index)
{
    std::vector<ObjectVersion> objects;
    auto added = co_await addObjectVersion(
            store, segmentObjectName(job.id, job.segments[index].hash), objects);
    if (!isOk(added))
        co_return errorOf(added);
    const auto object = co_await store->get(progressObjectName(job.id, index));
    if (!isOk(object) && errorOf(object).code != ErrorCode::NotFound)
        co_return errorOf(object);
    if (!isOk(object))
        co_return objects;
    const auto progress = decodeProgress(job.id, index, valueOf(object));
    if (!isOk(progress))
        co_return errorOf(progress);
    for (const ResultPart &part : valueOf(progress).parts) {
        for (const ContentHash &chunk : part.chunks) {
            added = co_await addObjectVersion(store, chunkObjectName(job.id, chunk), objects);
            if (!isOk(added))
                co_return errorOf(added);
        }
    }
    objects.push_back({valueOf(object).name, valueOf(object).version});
    co_return objects;
}

// Returns the segment and result objects that are left after those referenced by the segments of
// the job have been removed: segments of aborted submissions with the same idempotency key, and
// results stored by an instance that then lost its claim.
asio::awaitable<Result<std::vector<ObjectVersion>>>
listUnreferencedObjects(std::shared_ptr<ObjectStore> store, const JobId &id)
{
    const auto list = co_await store->list("job=" + id.toString() + ",kind in (segment,results)");
    if (!isOk(list))
        co_return errorOf(list);
    std::vector<ObjectVersion> objects;
    for (const StoredObject &object : valueOf(list).objects)
        objects.push_back({object.name, object.version});
    co_return objects;
}

// Removes objects whose versions were read before this call, provided that the job is still marked
// as expired. Otherwise returns Conflict: another instance has removed the job, and the objects may
// belong to a new job with the same id.
asio::awaitable<Result<Done>> removeObjects(std::shared_ptr<ObjectStore> store,
                                            const StoredJob &marked,
                                            std::vector<ObjectVersion> objects)
{
    const auto present = co_await store->get(jobObjectName(marked.job.id));
    if (!isOk(present))
        co_return errorOf(present);
    if (valueOf(present).version != marked.version)
        co_return Error{ErrorCode::Conflict, "the job was changed during its removal"};
    for (ObjectVersion &object : objects) {
        const auto removed =
                co_await store->remove(std::move(object.name), std::move(object.version));
        if (!isOk(removed) && errorOf(removed).code != ErrorCode::NotFound)
            co_return errorOf(removed);
    }
    co_return Done{};
}

} // namespace

asio::awaitable<Result<Done>> removeExpiredJob(std::shared_ptr<ObjectStore> store, StoredJob stored,
                                               std::size_t shardCount)
{
    const auto marked = co_await markExpired(store, std::move(stored), shardCount);
    if (!isOk(marked))
        co_return errorOf(marked);
    const Job &job = valueOf(marked).job;
    for (std::uint32_t index = 0; index < job.segments.size(); ++index) {
        auto objects = co_await listSegmentObjects(store, job, index);
        if (!isOk(objects))
            co_return errorOf(objects);
        const auto removed =
                co_await removeObjects(store, valueOf(marked), valueOf(std::move(objects)));
        if (!isOk(removed))
            co_return errorOf(removed);
        co_await waitBetweenSegments();
    }
    auto remaining = co_await listUnreferencedObjects(store, job.id);
    if (!isOk(remaining))
        co_return errorOf(remaining);
    const auto removed =
            co_await removeObjects(store, valueOf(marked), valueOf(std::move(remaining)));
    if (!isOk(removed))
        co_return errorOf(removed);
    co_return co_await store->remove(jobObjectName(job.id), valueOf(marked).version);
}

asio::awaitable<Result<std::size_t>>
removeExpiredJobs(std::shared_ptr<ObjectStore> store, std::vector<std::uint32_t> shards,
                  std::size_t shardCount, std::chrono::system_clock::time_point endedBefore)
{
    std::size_t removed = 0;
    const auto list = co_await store->list(inactiveJobsSelector(shards));
    if (!isOk(list))
        co_return errorOf(list);
    for (const StoredObject &object : valueOf(list).objects) {
        auto job = decodeJob(object);
        if (!isOk(job) || !valueOf(job).ended || *valueOf(job).ended >= endedBefore)
            continue;
        StoredJob stored{valueOf(std::move(job)), object.version};
        const auto outcome = co_await removeExpiredJob(store, std::move(stored), shardCount);
        removed += isOk(outcome) ? 1 : 0;
    }
    co_return removed;
}

} // namespace pistachiofall
