#include "batch/storecalls.h"

#include "batch/jobcodec.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::batch::detail {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds FirstRetryDelay{100};

Error jobNotFound(const JobId &id)
{
    return {ErrorCode::NotFound, "there is no job '" + id.toString() + "'"};
}

} // namespace

asio::awaitable<void> waitBeforeRetry(int attempt)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, FirstRetryDelay * (1 << (attempt - 1)));
    co_await timer.async_wait(asio::use_awaitable);
}

bool isRetryable(ErrorCode code)
{
    return code == ErrorCode::Unavailable || code == ErrorCode::TimedOut
            || code == ErrorCode::OutcomeUnknown;
}

asio::awaitable<Result<StoredObject>> getObject(std::shared_ptr<ObjectStore> store,
                                                std::string name)
{
    for (int attempt = 1;; ++attempt) {
        auto object = co_await store->get(name);
        if (isOk(object) || !isRetryable(errorOf(object).code) || attempt == MaxStoreAttempts)
            co_return object;
        co_await waitBeforeRetry(attempt);
    }
}

asio::awaitable<Result<Done>> putImmutable(std::shared_ptr<ObjectStore> store, StoredObject object)
{
    for (int attempt = 1;; ++attempt) {
        const auto created = co_await store->create(object);
        if (isOk(created) || errorOf(created).code == ErrorCode::AlreadyExists)
            co_return Done{};
        if (!isRetryable(errorOf(created).code))
            co_return errorOf(created);
        // Nothing refers to the object yet, so it does not matter whether it was stored.
        if (attempt == MaxStoreAttempts)
            co_return Error{ErrorCode::Unavailable, errorOf(created).message};
        co_await waitBeforeRetry(attempt);
    }
}

asio::awaitable<Result<StoredJob>> getJob(std::shared_ptr<ObjectStore> store, JobId id)
{
    const auto object = co_await getObject(std::move(store), jobObjectName(id));
    if (!isOk(object)) {
        if (errorOf(object).code == ErrorCode::NotFound)
            co_return jobNotFound(id);
        co_return errorOf(object);
    }
    auto job = decodeJob(valueOf(object));
    if (!isOk(job))
        co_return errorOf(job);
    co_return StoredJob{valueOf(std::move(job)), valueOf(object).version};
}

asio::awaitable<Result<StoredJob>> getOwnedJob(std::shared_ptr<ObjectStore> store, JobId id,
                                               std::string organisation)
{
    auto job = co_await getJob(std::move(store), id);
    if (!isOk(job))
        co_return job;
    const Job &found = valueOf(job).job;
    if (found.organisation != organisation || found.state == JobState::Expired)
        co_return jobNotFound(id);
    co_return job;
}

} // namespace pistachiofall::batch::detail
