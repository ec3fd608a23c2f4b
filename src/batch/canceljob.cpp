#include "batch/canceljob.h"

#include "batch/jobcodec.h"
#include "batch/storecalls.h"
#include "store/writeoutcome.h"

#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;

namespace {

// Conflicts are rare, because the coordinator stores a job at most every few seconds.
constexpr int MaxAttempts = 10;

} // namespace

asio::awaitable<Result<JobState>> cancelJob(std::shared_ptr<ObjectStore> store,
                                            std::size_t shardCount, std::string organisation,
                                            JobId id)
{
    WriteOutcome outcome;
    for (int attempt = 1; attempt <= MaxAttempts; ++attempt) {
        auto stored = co_await batch::detail::getOwnedJob(store, id, organisation);
        if (!isOk(stored)) {
            const Error error = errorOf(stored);
            if (!outcome.isUnknown() && !batch::detail::isRetryable(error.code))
                co_return error;
            outcome.recordFailure({ErrorCode::Unavailable, error.message});
            break;
        }
        Job &job = valueOf(stored).job;
        if (job.state != JobState::Open)
            co_return job.state;
        job.state = JobState::Cancelled;
        StoredObject object = encodeJob(job, shardCount);
        object.version = valueOf(stored).version;
        const auto updated = co_await store->update(std::move(object));
        if (isOk(updated))
            co_return JobState::Cancelled;
        const Error error = errorOf(updated);
        outcome.recordFailure(error);
        // The next attempt reads the job again. A conflict is retried without delay, with the new
        // version.
        if (error.code == ErrorCode::Conflict)
            continue;
        if (!outcome.isUnknown() && !batch::detail::isRetryable(error.code))
            co_return error;
        co_await batch::detail::waitBeforeRetry(1);
    }
    co_return outcome.failure();
}

} // namespace pistachiofall
