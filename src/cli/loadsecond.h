#pragma once

#include <cstdint>

namespace pistachiofall {

/// Counts of the requests of a flow whose intended send time is within one second of a run.
struct LoadSecond
{
    std::uint64_t sent = 0;
    /// Complete responses with status 200.
    std::uint64_t answered = 0;
    /// Complete responses with status 200 that met the latency objective.
    std::uint64_t withinObjective = 0;
    /// Responses with status 429.
    std::uint64_t limited = 0;
};

} // namespace pistachiofall
