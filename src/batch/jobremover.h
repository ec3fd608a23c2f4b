#pragma once

#include "base/clock.h"
#include "batch/jobcoordinatorsettings.h"
#include "metrics/metricsregistry.h"
#include "store/objectstore.h"

#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pistachiofall::batch::detail {

/// Removes the jobs of the shards that this instance holds once their retention period is over.
/// Everything runs on the given strand.
class JobRemover
{
public:
    using Self = std::shared_ptr<JobRemover>;

    JobRemover(const boost::asio::any_io_executor &strand, std::shared_ptr<ObjectStore> store,
               const Clock &clock, MetricsRegistry &metrics,
               const JobCoordinatorSettings &settings);

    /// Searches for expired jobs periodically until stop() is called.
    static boost::asio::awaitable<void> run(Self self);

    /// Stops the search. A removal in progress continues; another instance may remove the same job
    /// at the same time.
    void stop();

private:
    std::shared_ptr<ObjectStore> m_store;
    const Clock &m_clock;
    Counter &m_removed;
    JobCoordinatorSettings m_settings;
    boost::asio::steady_timer m_timer;
    bool m_isStopped = false;
};

} // namespace pistachiofall::batch::detail
