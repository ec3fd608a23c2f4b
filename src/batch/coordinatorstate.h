#pragma once

#include "base/clock.h"
#include "batch/batchmetrics.h"
#include "batch/jobcoordinatorsettings.h"
#include "batch/jobscheduler.h"
#include "batch/listedjob.h"
#include "batch/segmentkey.h"
#include "store/objectstore.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pistachiofall::batch::detail {

/// Carries out the decisions of JobScheduler: calls the store and runs items. Everything except the
/// items runs on one strand.
class CoordinatorState : public std::enable_shared_from_this<CoordinatorState>
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Self = std::shared_ptr<CoordinatorState>;

    CoordinatorState(const boost::asio::any_io_executor &executor,
                     std::shared_ptr<ObjectStore> store, const Clock &clock,
                     MetricsRegistry &metrics, const JobCoordinatorSettings &settings);

    const boost::asio::any_io_executor &strand() const { return m_strand; }

    static boost::asio::awaitable<void> pollJobs(Self self);
    static boost::asio::awaitable<void> runWorkLoop(Self self);
    static boost::asio::awaitable<void> stop(Self self, std::chrono::milliseconds grace);

    void onJobChanged();
    void onShardTableChanged();
    void kill();

    /// Prevents any further item from being sent. May be called from any thread.
    void closeGate() { m_gate->close(); }

private:
    /// Items of a claimed segment, and the state of loading them.
    struct LoadedItems
    {
        bool isLoading = false;
        TimePoint notBefore = TimePoint::min();
        std::vector<BatchItem> items;
    };

    static boost::asio::awaitable<bool> readJobs(Self self);
    static boost::asio::awaitable<void> loadItems(Self self, SegmentKey key, ContentHash hash);
    static boost::asio::awaitable<void> readProgress(Self self, SegmentKey key);
    static boost::asio::awaitable<void> writeProgress(Self self, SegmentKey key, Progress progress,
                                                      std::string version);
    static boost::asio::awaitable<void> storePart(Self self, SegmentKey key, ResultMap results);
    static boost::asio::awaitable<void> writeJob(Self self, JobScheduler::JobWrite write);
    static boost::asio::awaitable<void> runItem(Self self, ItemKey key, BatchItem item,
                                                std::string organisation,
                                                std::shared_ptr<ItemCancellation> cancellation);

    std::vector<std::uint32_t> heldShards() const;
    std::map<std::uint32_t, std::uint64_t> heldEpochs() const;
    std::chrono::milliseconds readInterval() const;
    std::vector<ListedJob> decodeJobs(const ObjectList &list);
    void step();
    void advanceRun(const SegmentKey &key, TimePoint now);
    void beginLoadingItems(const SegmentKey &key, TimePoint now);
    void onLoaded(const SegmentKey &key, std::vector<BatchItem> items);
    void startItem(const ItemKey &key);
    void cancelItems(const SegmentKey &key);
    void wakeWorkLoop() { m_workTimer.cancel(); }

    boost::asio::any_io_executor m_executor;
    boost::asio::any_io_executor m_strand;
    std::shared_ptr<ObjectStore> m_store;
    const Clock &m_clock;
    BatchMetrics m_metrics;
    JobCoordinatorSettings m_settings;
    std::shared_ptr<StartGate> m_gate;
    JobScheduler m_scheduler;
    std::map<SegmentKey, LoadedItems> m_items;
    std::map<ItemKey, std::shared_ptr<ItemCancellation>> m_runningItems;
    boost::asio::steady_timer m_pollTimer;
    boost::asio::steady_timer m_workTimer;
    bool m_isReadRequested = false;
    // Shards held at the start of the last read of the jobs, with their epochs.
    std::map<std::uint32_t, std::uint64_t> m_readEpochs;
    bool m_isKilled = false;
    // Earliest time at which a planned stop cancels running items.
    TimePoint m_cancelNotBefore = TimePoint::min();
};

} // namespace pistachiofall::batch::detail
