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

/// A job and the version of its object in the store.
struct StoredJob
{
    Job job;
    std::string version;
};

namespace batch::detail {

/// Maximum number of attempts of a store call. The delays between them grow exponentially and add
/// up to about 3 s.
inline constexpr int MaxStoreAttempts = 6;

/// Waits after the failed attempt with the given number, counted from 1, before the call is
/// retried.
boost::asio::awaitable<void> waitBeforeRetry(int attempt);

/// Returns whether a call that failed with this code may succeed if it is retried.
bool isRetryable(ErrorCode code);

/// Gets an object and retries the call on transient errors.
boost::asio::awaitable<Result<StoredObject>> getObject(std::shared_ptr<ObjectStore> store,
                                                       std::string name);

/// Stores an object whose name is derived from its content. An existing object with the name is
/// identical, so an unknown outcome is resolved by storing the object again.
boost::asio::awaitable<Result<Done>> putImmutable(std::shared_ptr<ObjectStore> store,
                                                  StoredObject object);

/// Returns NotFound if there is no such job.
boost::asio::awaitable<Result<StoredJob>> getJob(std::shared_ptr<ObjectStore> store, JobId id);

/// Gets a job of the organisation. Returns NotFound also if the job has expired, or if it belongs
/// to another organisation, which must not learn that the job exists.
boost::asio::awaitable<Result<StoredJob>> getOwnedJob(std::shared_ptr<ObjectStore> store, JobId id,
                                                      std::string organisation);

} // namespace batch::detail

} // namespace pistachiofall
