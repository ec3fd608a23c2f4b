#pragma once

#include <chrono>
#include <cstddef>

namespace pistachiofall {

/// Limits and intervals of a segment run.
struct SegmentRunSettings
{
    int maxAttempts = 3;

    /// Time from the last write to the next write of results. Results that a killed instance has
    /// not stored are lost and their items are run again.
    std::chrono::milliseconds checkpointInterval{5000};

    /// Minimum time between two writes of marks of non-idempotent items, because each of them
    /// writes the whole progress.
    std::chrono::milliseconds markInterval{1000};

    /// Maximum number of non-idempotent items that are marked before they can be started. If the
    /// instance is killed, these items end with an unknown outcome although they were not sent.
    std::size_t maxMarkedAhead = 32;

    /// Bounds of the delay after a failed attempt.
    std::chrono::milliseconds firstRetryDelay{1000};
    std::chrono::milliseconds maxRetryDelay{30'000};

    /// Bounds of the delay after an attempt that was not run. The lower bound is also the delay
    /// after a revoked slot.
    std::chrono::milliseconds firstRefusalDelay{200};
    std::chrono::milliseconds maxRefusalDelay{5000};

    /// Bounds of the delay after a failed store call.
    std::chrono::milliseconds firstStoreDelay{200};
    std::chrono::milliseconds maxStoreDelay{2000};
};

} // namespace pistachiofall
