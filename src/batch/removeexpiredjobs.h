#pragma once

#include "base/result.h"
#include "batch/storecalls.h"
#include "store/objectstore.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Removes a job, in the version that was read, with its segments, progress and results. Returns
/// Conflict if the job has changed since; nothing that belongs to its present state is removed
/// then.
boost::asio::awaitable<Result<Done>> removeExpiredJob(std::shared_ptr<ObjectStore> store,
                                                      StoredJob stored, std::size_t shardCount);

/// Removes the jobs of the shards that ended before a point in time, with their segments, progress
/// and results. Returns the number of jobs that were removed completely. A job is first marked as
/// expired, so that no caller sees a partly removed job. A removal that fails is repeated by the
/// next call. Several instances may remove the same job concurrently: an object is only removed in
/// the version that was read while the job was still marked as expired, so an instance that was
/// paused meanwhile removes nothing from a job that was submitted again. Fails if the jobs can not
/// be listed.
boost::asio::awaitable<Result<std::size_t>>
removeExpiredJobs(std::shared_ptr<ObjectStore> store, std::vector<std::uint32_t> shards,
                  std::size_t shardCount, std::chrono::system_clock::time_point endedBefore);

} // namespace pistachiofall
