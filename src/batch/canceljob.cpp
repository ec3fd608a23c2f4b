#include "batch/canceljob.h"

#include "batch/jobcodec.h"
#include "batch/storecalls.h"

#include <optional>
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
    std::optional<Error> last;
    bool isUnknown = false;
    for (int attempt = 1; attempt <= MaxAttempts; ++attempt) {
        auto stored = co_await batch::detail::getOwnedJob(store, id, organisation);
        if (!isOk(stored)) {
            last = errorOf(stored);
            if (!batch::detail::isRetryable(last->code))
                co_return *last;
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
        last = errorOf(updated);
        // The next attempt reads the job again. A conflict is retried without delay, with the new
        // version.
        if (last->code == ErrorCode::Conflict)
            continue;
        if (!batch::detail::isRetryable(last->code))
            co_return *last;
        isUnknown = isUnknown || last->code != ErrorCode::Unavailable;
        co_await batch::detail::waitBeforeRetry(1);
    }
    co_return Error{isUnknown ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable, last->message};
}

} // namespace pistachiofall
