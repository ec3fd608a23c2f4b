#pragma once

#include <cstdint>

namespace pistachiofall {

/// Section [limits]: limits on what callers may send.
struct LimitSettings
{
    /// The maximum body size of a request. Large enough for a batch with the maximum number of
    /// items of 2 KB each.
    std::uint64_t maxBodyBytes = 1ULL << 30U;
    /// The maximum total size of the headers of a request.
    std::uint64_t maxHeaderBytes = 16U << 10U;
    /// The maximum number of open connections of callers.
    std::uint64_t maxConnections = 10'000;
    /// The maximum number of items of a batch job.
    std::uint64_t maxBatchItems = 520'000;
};

} // namespace pistachiofall
