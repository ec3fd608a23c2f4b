#include "batch/jobreader.h"

#include "batch/progresscodec.h"
#include "batch/storecalls.h"

#include <cstdint>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;

namespace {

void addCounts(JobStatus &status, const ResultCounts &counts)
{
    status.done += counts.done;
    status.failed += counts.failed;
}

asio::awaitable<Result<JobStatus>> readStatus(std::shared_ptr<ObjectStore> store,
                                              std::string organisation, JobId id)
{
    const auto stored = co_await batch::detail::getOwnedJob(store, id, std::move(organisation));
    if (!isOk(stored))
        co_return errorOf(stored);
    const Job &job = valueOf(stored).job;
    JobStatus status{id, job.state, job.due, job.created, job.itemCount(), 0, 0};
    // Segments are claimed in order, so no segment after an unclaimed one has results.
    bool isUnclaimed = false;
    for (std::uint32_t index = 0; index < job.segments.size(); ++index) {
        const JobSegment &segment = job.segments[index];
        if (segment.finished)
            addCounts(status, *segment.finished);
        if (segment.finished || isUnclaimed)
            continue;
        const auto object = co_await batch::detail::getObject(store, progressObjectName(id, index));
        if (!isOk(object) && errorOf(object).code != ErrorCode::NotFound)
            co_return errorOf(object);
        isUnclaimed = !isOk(object);
        if (isUnclaimed)
            continue;
        const auto progress = decodeProgress(id, index, valueOf(object));
        if (!isOk(progress))
            co_return errorOf(progress);
        addCounts(status, valueOf(progress).counts());
    }
    co_return status;
}

asio::awaitable<Result<std::unique_ptr<ResultStream>>>
openResults(std::shared_ptr<ObjectStore> store, std::string organisation, JobId id)
{
    auto stored = co_await batch::detail::getOwnedJob(store, id, std::move(organisation));
    if (!isOk(stored))
        co_return errorOf(stored);
    co_return std::make_unique<ResultStream>(std::move(store), std::move(valueOf(stored).job));
}

} // namespace

JobReader::JobReader(std::shared_ptr<ObjectStore> store)
    : m_store(std::move(store))
{ }

asio::awaitable<Result<JobStatus>> JobReader::status(std::string organisation, JobId id)
{
    return readStatus(m_store, std::move(organisation), id);
}

asio::awaitable<Result<std::unique_ptr<ResultStream>>> JobReader::results(std::string organisation,
                                                                          JobId id)
{
    return openResults(m_store, std::move(organisation), id);
}

} // namespace pistachiofall
