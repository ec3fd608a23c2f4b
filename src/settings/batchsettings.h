#pragma once

#include <chrono>

namespace pistachiofall {

/// Section [batch].
struct BatchSettings
{
    /// How long a job, its results and its idempotency key are kept after the job has ended. Must
    /// be the same on all instances.
    std::chrono::hours retention{7 * 24};
};

} // namespace pistachiofall
