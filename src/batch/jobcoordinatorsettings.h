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

/// Makes one attempt to run an item for its organisation. Has to check ItemCancellation::mayStart()
/// directly before sending anything, and has to end soon after the item is cancelled.
using RunItem = std::function<boost::asio::awaitable<ItemOutcome>(
        BatchItem, std::string organisation, std::shared_ptr<ItemCancellation>)>;

/// Settings and callbacks that an instance provides to its job coordinator.
struct JobCoordinatorSettings
{
    JobSchedulerSettings scheduler;
    std::size_t shardCount = 256;

    /// Time from the start of one read of the jobs to the start of the next while there are jobs.
    /// Bounds the time until a cancelled job stops if the notification is lost.
    std::chrono::milliseconds pollInterval{2000};

    /// The same while there are no jobs. New jobs are announced by notifications; this interval
    /// bounds the delay of a job whose notification is lost. It is longer so that an idle fleet
    /// reads the store less often.
    std::chrono::milliseconds idlePollInterval{10000};

    /// Returns the minimum time between two checkpoints of this instance, depending on the current
    /// size of the fleet. If the function is empty, there is no minimum.
    std::function<std::chrono::milliseconds()> checkpointSpacing;

    /// How long a job is kept after it has ended, with its results and its idempotency key.
    std::chrono::milliseconds retention{std::chrono::hours{7 * 24}};

    /// Interval between two searches for jobs whose retention period is over.
    std::chrono::milliseconds removalInterval{std::chrono::minutes{10}};

    /// Has to be thread-safe.
    StartGate::OwnsShard ownsShard;

    /// Returns whether requests to the path may be sent more than once.
    std::function<bool(const std::string &path)> isIdempotent;

    RunItem runItem;
};

} // namespace pistachiofall
