#pragma once

#include "batch/job.h"

#include <chrono>
#include <cstdint>

namespace pistachiofall {

/// Status of a job as reported to callers.
struct JobStatus
{
    JobId id = JobId::fromHash({});
    JobState state = JobState::Open;
    std::chrono::system_clock::time_point due;
    std::chrono::system_clock::time_point created;
    std::uint64_t total = 0;
    /// Number of items with a result, including errors.
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
};

} // namespace pistachiofall
