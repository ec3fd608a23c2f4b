#pragma once

#include "base/result.h"
#include "batch/jobid.h"
#include "batch/jobstatus.h"
#include "batch/resultstream.h"
#include "store/objectstore.h"

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Reads the status and the results of jobs for callers. Returns NotFound for a job of another
/// organisation. Thread-safe.
class JobReader
{
public:
    explicit JobReader(std::shared_ptr<ObjectStore> store);

    /// Reads the job, and the progress of the claimed segments that have not finished.
    boost::asio::awaitable<Result<JobStatus>> status(std::string organisation, JobId id);

    boost::asio::awaitable<Result<std::unique_ptr<ResultStream>>> results(std::string organisation,
                                                                          JobId id);

private:
    std::shared_ptr<ObjectStore> m_store;
};

} // namespace pistachiofall
