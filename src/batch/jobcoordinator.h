#pragma once

#include "base/clock.h"
#include "batch/jobcoordinatorsettings.h"
#include "metrics/metricsregistry.h"
#include "store/objectstore.h"

#include <chrono>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

namespace batch::detail {
class CoordinatorState;
class JobRemover;
} // namespace batch::detail

/// Runs the jobs of the shards that this instance holds. Each item gets exactly one result, even if
/// the instance is killed or paused or the store loses responses. While the store is unavailable no
/// item is started; running items continue and their results are stored later. The clock and the
/// registry must outlive the work of the executor.
class JobCoordinator
{
public:
    JobCoordinator(const boost::asio::any_io_executor &executor, std::shared_ptr<ObjectStore> store,
                   const Clock &clock, MetricsRegistry &metrics,
                   const JobCoordinatorSettings &settings);

    /// Stops immediately without storing anything, as if the instance had been killed. Call stop()
    /// first for a planned stop.
    ~JobCoordinator();
    JobCoordinator(const JobCoordinator &) = delete;
    JobCoordinator &operator=(const JobCoordinator &) = delete;

    /// Starts running jobs.
    void start();

    /// Notifies the coordinator that a job was created or cancelled, so that it reads the jobs
    /// soon. May be called from any thread.
    void onJobChanged();

    /// Notifies the coordinator that the shard table has changed. It reads the jobs soon if this
    /// instance now holds other shards than at the last read, or the same shards at other epochs.
    /// May be called from any thread.
    void onShardTableChanged();

    /// Starts no more items, waits up to the grace period for running items, cancels the remaining
    /// ones, stores the results and releases the claims. Takes at most 3 s longer than the grace
    /// period.
    boost::asio::awaitable<void> stop(std::chrono::milliseconds grace);

private:
    std::shared_ptr<batch::detail::CoordinatorState> m_state;
    std::shared_ptr<batch::detail::JobRemover> m_remover;
};

} // namespace pistachiofall
