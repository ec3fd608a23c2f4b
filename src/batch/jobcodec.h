#pragma once

#include "base/result.h"
#include "batch/job.h"
#include "store/storedobject.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pistachiofall {

inline constexpr std::uint64_t MaxJobItems = 520'000;

/// Keeps the object of a job below the size limit of the store.
inline constexpr std::size_t MaxJobSegments = 30'000;

std::string jobObjectName(const JobId &id);

/// Returns the object of a job, without a version. Its labels are kind=job, shard, state and
/// active=yes|no.
StoredObject encodeJob(const Job &job, std::size_t shardCount);

/// Returns ProtocolError if the data is corrupt or belongs to another object.
Result<Job> decodeJob(const StoredObject &object);

/// Returns a selector for the active jobs of the shards, those for which a coordinator has work to
/// do.
std::string activeJobsSelector(const std::vector<std::uint32_t> &shards);

/// Returns a selector for the jobs of the shards that have ended.
std::string inactiveJobsSelector(const std::vector<std::uint32_t> &shards);

} // namespace pistachiofall
