#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace pistachiofall {

/// The outcome of a batch job of a load run.
struct LoadBatchResult
{
    /// The error of the submission; empty when the job was accepted.
    std::string error;
    std::uint64_t total = 0;
    /// The counts of the last status query within the run.
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    /// The value of done at the due time, or at the end of the run if that is earlier.
    std::uint64_t doneWhenDue = 0;
    /// The time from the intended submission to the status query that found the job ended; empty
    /// when the job did not end within the run.
    std::optional<std::chrono::milliseconds> timeToEnd;
};

} // namespace pistachiofall
