#include "batch/jobremover.h"

#include "batch/removeexpiredjobs.h"

#include <cstdint>
#include <utility>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::batch::detail {

namespace asio = boost::asio;

namespace {

std::vector<std::uint32_t> heldShards(const JobCoordinatorSettings &settings)
{
    std::vector<std::uint32_t> shards;
    for (std::uint32_t shard = 0; shard < settings.shardCount; ++shard) {
        if (settings.ownsShard(shard))
            shards.push_back(shard);
    }
    return shards;
}

} // namespace

JobRemover::JobRemover(const asio::any_io_executor &strand, std::shared_ptr<ObjectStore> store,
                       const Clock &clock, MetricsRegistry &metrics,
                       const JobCoordinatorSettings &settings)
    : m_store(std::move(store))
    , m_clock(clock)
    , m_removed(metrics.counter("batch_jobs_removed_total"))
    , m_settings(settings)
    , m_timer(strand)
{ }

asio::awaitable<void> JobRemover::run(Self self)
{
    while (!self->m_isStopped) {
        self->m_timer.expires_after(self->m_settings.removalInterval);
        boost::system::error_code ignored;
        co_await self->m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (self->m_isStopped)
            co_return;
        const auto shards = heldShards(self->m_settings);
        if (shards.empty())
            continue;
        const auto endedBefore = self->m_clock.wallNow() - self->m_settings.retention;
        const auto removed = co_await removeExpiredJobs(self->m_store, shards,
                                                        self->m_settings.shardCount, endedBefore);
        if (isOk(removed))
            self->m_removed.add(valueOf(removed));
    }
}

void JobRemover::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

} // namespace pistachiofall::batch::detail
