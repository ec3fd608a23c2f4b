#pragma once

#include "base/socketaddress.h"
#include "cli/loadbatch.h"
#include "cli/loadbatchresult.h"

#include <chrono>

namespace pistachiofall {

/// Submits the job at its time after the start, and polls its status until the job has ended or the
/// time until has passed. Blocks until then.
LoadBatchResult runLoadBatch(const LoadBatch &batch, const SocketAddress &address,
                             std::chrono::steady_clock::time_point start,
                             std::chrono::steady_clock::time_point until);

} // namespace pistachiofall
