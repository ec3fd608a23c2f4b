#pragma once

#include <chrono>

namespace pistachiofall {

/// Section [deadlines].
struct DeadlineSettings
{
    /// The timeout for connecting to an endpoint.
    std::chrono::milliseconds connect{1000};
    /// The timeout from the request to the first byte of the response.
    std::chrono::milliseconds firstByte{30'000};
    /// The timeout between two chunks of a streamed response.
    std::chrono::milliseconds chunkGap{10'000};
    /// How long an online request waits for a slot at most.
    std::chrono::milliseconds slotWait{5'000};
    /// How long requests in flight may take to finish during a graceful shutdown.
    std::chrono::milliseconds drain{30'000};
    /// How long the listener keeps accepting connections after /readyz starts to fail during a
    /// graceful shutdown.
    std::chrono::milliseconds readyDelay{1000};
};

} // namespace pistachiofall
