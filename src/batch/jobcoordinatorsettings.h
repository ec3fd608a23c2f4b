#pragma once

#include "batch/batchitem.h"
#include "batch/itemcancellation.h"
#include "batch/itemoutcome.h"
#include "batch/jobschedulersettings.h"
#include "batch/startgate.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Runs one try of an item for its organisation. Asks the cancellation directly before it sends
/// anything, and ends soon after it is cancelled.
using RunItem = std::function<boost::asio::awaitable<ItemOutcome>(
        BatchItem, std::string organisation, std::shared_ptr<ItemCancellation>)>;

/// What a coordinator needs of its instance.
struct JobCoordinatorSettings
{
    JobSchedulerSettings scheduler;
    std::size_t shardCount = 256;

    /// From the start of one read of the jobs to the start of the next, while there are any. It
    /// bounds the time until a cancelled job stops when the notice is lost.
    std::chrono::milliseconds pollInterval{2000};

    /// The same while there are none. Notices tell of new jobs; this bounds the delay of a job
    /// whose notice is lost, so that an idle fleet asks the store less often.
    std::chrono::milliseconds idlePollInterval{10000};

    /// The shortest time between two checkpoints of this instance, by the present size of the
    /// fleet; none when it is empty.
    std::function<std::chrono::milliseconds()> checkpointSpacing;

    /// How long a job is kept after its end, with its results and its idempotency key.
    std::chrono::milliseconds retention{std::chrono::hours{7 * 24}};

    /// Between two searches for jobs whose retention is over.
    std::chrono::milliseconds removalInterval{std::chrono::minutes{10}};

    /// Called from several threads.
    StartGate::OwnsShard ownsShard;

    /// Whether requests to the path may be sent more than once.
    std::function<bool(const std::string &path)> isIdempotent;

    RunItem runItem;
};

} // namespace pistachiofall
