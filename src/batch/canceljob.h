#pragma once

#include "base/result.h"
#include "batch/jobid.h"
#include "batch/jobstate.h"
#include "store/objectstore.h"

#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Cancels a job and returns its state, which is Done if the job had already ended. Once Cancelled
/// is returned, no item starts more than 3 s later. Errors: NotFound, also for a job of another
/// organisation; Unavailable if the job was certainly not cancelled; OutcomeUnknown if it may have
/// been.
boost::asio::awaitable<Result<JobState>> cancelJob(std::shared_ptr<ObjectStore> store,
                                                   std::size_t shardCount, std::string organisation,
                                                   JobId id);

} // namespace pistachiofall
