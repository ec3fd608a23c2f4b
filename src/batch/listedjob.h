#pragma once

#include "batch/job.h"

#include <cstdint>
#include <string>

namespace pistachiofall {

/// A job as read from the store.
struct ListedJob
{
    Job job;
    std::string version;
    /// Epoch at which this instance holds the shard of the job.
    std::uint64_t epoch = 0;
};

} // namespace pistachiofall
