#pragma once

#include "base/socketaddress.h"
#include "cli/loadbatch.h"
#include "cli/loadbatchresult.h"
#include "cli/loadflow.h"
#include "cli/loadresult.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace pistachiofall {

/// The requests and jobs of a load run, and the instances to send them to.
struct LoadOptions
{
    /// The callers' listeners; each flow sends its requests to them in round-robin order.
    std::vector<SocketAddress> addresses;
    std::vector<LoadFlow> flows;
    std::vector<LoadBatch> batches;
    std::chrono::milliseconds duration{10000};
    /// The timeout of a request, from its intended send time.
    std::chrono::milliseconds timeout{30000};
    /// The latency objective, from the intended send time to the first token of a stream, or to the
    /// end of any other response.
    std::chrono::milliseconds objective{1600};
    std::uint64_t seed = 1;
    std::size_t maxConnections = 1000;
    int maxTokens = 32;
};

/// The results of a load run, in the order of LoadOptions::flows and LoadOptions::batches.
struct LoadReport
{
    std::vector<LoadResult> flows;
    std::vector<LoadBatchResult> batches;
};

/// Sends the flows open-loop: each request at its time, however many are still in flight. Blocks
/// for at most the sum of the duration and the timeout. Returns one result per flow, in their
/// order.
std::vector<LoadResult> runLoad(const LoadOptions &options);

/// Runs the flows as runLoad does, and the batch jobs at the same time. Blocks until the flows have
/// ended, and until the jobs have ended or the sum of the duration and the timeout has passed.
LoadReport runLoadWithBatches(const LoadOptions &options);

} // namespace pistachiofall
