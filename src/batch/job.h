#pragma once

#include "batch/contenthash.h"
#include "batch/jobid.h"
#include "batch/jobstate.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachiofall {

/// Number of items of a segment that have a result, and how many of these results are errors.
struct ResultCounts
{
    std::uint32_t done = 0;
    std::uint32_t failed = 0;

    bool operator==(const ResultCounts &) const = default;
};

/// A group of items of a job that is stored, claimed and run together.
struct JobSegment
{
    ContentHash hash;
    std::uint32_t itemCount = 0;
    /// Set once all results are final: no result will be added or changed.
    std::optional<ResultCounts> finished;

    bool operator==(const JobSegment &) const = default;
};

/// A batch job. Creating its object in the store commits the submission.
struct Job
{
    JobId id = JobId::fromHash({});
    std::string organisation;
    std::string idempotencyKey;
    /// Hash of all items. Distinguishes a resubmission of the job from a different job with the
    /// same idempotency key.
    ContentHash bodyHash;
    /// Both times have millisecond precision.
    std::chrono::system_clock::time_point due;
    std::chrono::system_clock::time_point created;
    JobState state = JobState::Open;
    /// Whether a coordinator still has work to do: items to run, or results of a cancelled job to
    /// store.
    bool isActive = true;
    /// Time at which the job became inactive, with millisecond precision.
    std::optional<std::chrono::system_clock::time_point> ended;
    std::vector<JobSegment> segments;

    std::uint64_t itemCount() const;

    bool operator==(const Job &) const = default;
};

} // namespace pistachiofall
