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

/// Runs the jobs of the shards that this instance holds. Each item ends with exactly one result,
/// also when the instance is killed or paused, or when the store loses answers. While the store is
/// down nothing is started; what runs ends and is stored later. The clock and the registry must
/// outlive the work of the executor.
class JobCoordinator
{
public:
    JobCoordinator(const boost::asio::any_io_executor &executor, std::shared_ptr<ObjectStore> store,
                   const Clock &clock, MetricsRegistry &metrics,
                   const JobCoordinatorSettings &settings);

    /// Ends at once and stores nothing, as if the instance had been killed; stop() comes first in a
    /// planned stop.
    ~JobCoordinator();
    JobCoordinator(const JobCoordinator &) = delete;
    JobCoordinator &operator=(const JobCoordinator &) = delete;

    /// Begins to run jobs.
    void start();

    /// A job was created or cancelled: reads the jobs soon. From any thread.
    void onJobChanged();

    /// The shard table has changed: reads the jobs soon if this instance holds other shards than at
    /// the last read, or the same ones at other epochs. From any thread.
    void onShardTableChanged();

    /// Starts nothing more, waits for running items for the grace period, cancels the others,
    /// stores what ended and gives the claims back. Takes at most 3 s longer than the grace period.
    boost::asio::awaitable<void> stop(std::chrono::milliseconds grace);

private:
    std::shared_ptr<batch::detail::CoordinatorState> m_state;
    std::shared_ptr<batch::detail::JobRemover> m_remover;
};

} // namespace pistachiofall
