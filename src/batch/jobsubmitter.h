#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "batch/job.h"
#include "store/objectstore.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Parameters of a submission, apart from the items.
struct JobRequest
{
    std::string organisation;
    std::string idempotencyKey;
    std::chrono::system_clock::time_point due;
};

/// An accepted job: it is stored and its items will be run.
struct SubmittedJob
{
    JobId id = JobId::fromHash({});
    std::uint64_t itemCount = 0;
    /// False if the job existed already because it was submitted before.
    bool isNew = true;
};

/// Accepts and stores submitted jobs. Thread-safe.
class JobSubmitter
{
public:
    /// Returns the next piece of the body, or an empty string at its end.
    using NextPiece = std::function<boost::asio::awaitable<Result<std::string>>()>;

    JobSubmitter(std::shared_ptr<ObjectStore> store, std::size_t shardCount, const Clock &clock);

    /// Reads the JSON lines of the body, stores each segment as soon as it is full, and finally
    /// creates the job object, which commits the submission. If a job with the same organisation,
    /// key and items exists, it is returned instead, regardless of its due time and state. Errors:
    /// InvalidArgument for an invalid key or body, AlreadyExists if the key belongs to a job with
    /// other items, Unavailable if the job was certainly not created, OutcomeUnknown if it may have
    /// been created (the caller can submit it again), and the errors returned by nextPiece.
    boost::asio::awaitable<Result<SubmittedJob>> submit(JobRequest request, NextPiece nextPiece);

private:
    std::shared_ptr<ObjectStore> m_store;
    std::size_t m_shardCount;
    const Clock &m_clock;
};

} // namespace pistachiofall
