#pragma once

#include "cli/loadsecond.h"
#include "metrics/histogram.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pistachiofall {

/// The quantiles in the report of a load run.
inline constexpr std::array<double, 4> LoadQuantiles{0.5, 0.95, 0.99, 0.999};

/// The outcome of one flow of a load run. Times are measured from the intended send time, so that
/// delays in the generator or the connection count as latency.
struct LoadResult
{
    /// The number of requests by HTTP status, or by reason without a complete response: "cut" (the
    /// response ended early), "error", "timeout", "not_sent" (too many open connections) and
    /// "unfinished" (the run ended first).
    std::map<std::string, std::uint64_t> counts;
    /// The number of complete responses with status 200 that met the latency objective of the run.
    std::uint64_t withinObjective = 0;
    /// Indexed by the second of the intended send time.
    std::vector<LoadSecond> seconds;
    /// The latencies of complete responses with status 200.
    std::vector<std::chrono::nanoseconds> latencies;
    /// The times to the first token of streams.
    std::vector<std::chrono::nanoseconds> firstTokens;
    /// The times between the tokens of streams. A histogram, because each request has hundreds.
    std::unique_ptr<Histogram> gaps = std::make_unique<Histogram>();
};

/// Returns the number of requests that were due to be sent, with any outcome.
std::uint64_t requestCount(const LoadResult &result);

/// Returns the smallest value that is not exceeded by at least the given fraction of the values, or
/// zero when there are none.
std::chrono::nanoseconds nearestRankQuantile(std::vector<std::chrono::nanoseconds> values,
                                             double quantile);

} // namespace pistachiofall
