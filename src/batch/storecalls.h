#pragma once

#include "base/result.h"
#include "batch/contenthash.h"
#include "batch/job.h"
#include "store/objectstore.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// A job and the version of its object.
struct StoredJob
{
    Job job;
    std::string version;
};

namespace batch::detail {

/// A failed call is repeated this often, with growing waits of about 3 s in total.
inline constexpr int MaxStoreAttempts = 6;

/// Waits before the next attempt, counted from 1.
boost::asio::awaitable<void> waitBeforeRetry(int attempt);

/// Whether a call that failed so may succeed if it is repeated.
bool isRetryable(ErrorCode code);

/// Gets an object and repeats the call while the store does not answer.
boost::asio::awaitable<Result<StoredObject>> getObject(std::shared_ptr<ObjectStore> store,
                                                       std::string name);

/// Stores an object whose name follows from its content. One that exists is the same one, so that
/// an unknown outcome is resolved by storing it again.
boost::asio::awaitable<Result<Done>> putImmutable(std::shared_ptr<ObjectStore> store,
                                                  StoredObject object);

/// NotFound when there is no such job.
boost::asio::awaitable<Result<StoredJob>> getJob(std::shared_ptr<ObjectStore> store, JobId id);

/// NotFound also when the job has expired, or belongs to another organisation, which must not learn
/// that it exists.
boost::asio::awaitable<Result<StoredJob>> getOwnedJob(std::shared_ptr<ObjectStore> store, JobId id,
                                                      std::string organisation);

} // namespace batch::detail

} // namespace pistachiofall
