#pragma once

#include <chrono>
#include <cstddef>

namespace pistachiofall {

/// The bounds and times of a segment that is run.
struct SegmentRunSettings
{
    int maxAttempts = 3;

    /// Results are stored this long after the last write. What a killed instance loses is run
    /// again.
    std::chrono::milliseconds checkpointInterval{5000};

    /// Non-idempotent items are marked as started at most this often, because each write of marks
    /// stores the whole progress.
    std::chrono::milliseconds markInterval{1000};

    /// Non-idempotent items that are marked before they can be started. When the instance is
    /// killed, they end as unknown although they were not sent.
    std::size_t maxMarkedAhead = 32;

    /// The bounds of the wait after a failed try.
    std::chrono::milliseconds firstRetryDelay{1000};
    std::chrono::milliseconds maxRetryDelay{30'000};

    /// The bounds of the wait after a try that was not run, and of the one after a revoked slot.
    std::chrono::milliseconds firstRefusalDelay{200};
    std::chrono::milliseconds maxRefusalDelay{5000};

    /// The bounds of the wait after a failed call of the store.
    std::chrono::milliseconds firstStoreDelay{200};
    std::chrono::milliseconds maxStoreDelay{2000};
};

} // namespace pistachiofall
