#pragma once

#include "fleet/endpointpool.h"
#include "metrics/metricsregistry.h"
#include "serving/configholder.h"
#include "serving/endpointwatcher.h"
#include "serving/fleetpeers.h"
#include "serving/instancedirectory.h"
#include "serving/kindwatcher.h"
#include "serving/retirementwatcher.h"
#include "serving/rolloutdirector.h"
#include "serving/scheduler.h"
#include "serving/servingprotocol.h"
#include "serving/watchpeers.h"
#include "settings/fleetsettings.h"
#include "wire/messages.h"

#include <array>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

namespace pistachiofall {

/// Watches the objects that operators, endpoints and instances write to the store, and passes each
/// change to the component that it concerns. Not thread safe.
class StoreWatchers
{
public:
    /// The components that changes are passed to. All must outlive the watchers.
    struct Targets
    {
        ConfigHolder &config;
        EndpointPool &endpoints;
        Scheduler &scheduler;
        FleetPeers &peers;
        /// Null if the instance takes no orders for rollouts.
        RolloutDirector *rollouts = nullptr;
    };

    StoreWatchers(const boost::asio::any_io_executor &executor, const Clock &clock,
                  DecisionLog &log, MetricsRegistry &metrics, std::shared_ptr<ObjectSpace> space,
                  const ServingProtocol &protocol, const FleetSettings &settings, Targets targets);

    /// Starts all watches and registers this instance in the store.
    void start();

    /// Checks whether the watches are fresh, and removes endpoints whose grace period has ended. To
    /// be called periodically.
    void tick();

    /// What this instance tells its peers of its watches, and what a peer tells.
    void fillReport(wire::FleetReportT &report) const;
    void handleReport(const std::string &peer, const wire::FleetReportT &report);
    /// Passes changes on to a peer that follows this instance.
    wire::ChangesDataT passChanges(const wire::ChangesFetchT &fetch) const;

    /// The last time when the store was known to be available to any watch.
    SteadyTime lastContact() const;
    /// Sets the gauges of the ages of the watches.
    void updateMetrics(MetricsRegistry &metrics) const;

private:
    /// The watches that all instances share the check of, in the order of the marks in a report.
    enum SharedWatch : std::size_t {
        ConfigWatch,
        EndpointWatch,
        EvacuationWatch,
        /// Only if the instance takes orders for rollouts.
        RolloutWatch,
        SharedWatchCount
    };

    KindWatcher &add(const std::string &kind, KindWatcher::Callbacks callbacks);
    void addConfigWatcher();
    void addEndpointWatcher();
    void addEvacuationWatcher();
    void addRolloutWatcher();
    bool hasWatch(std::size_t watch) const { return m_shared.at(watch) != nullptr; }
    void applyEvacuations();
    void shareWatch(KindWatcher::Callbacks &callbacks, const std::string &kind);
    std::chrono::milliseconds boundedCoalesceTime(std::chrono::milliseconds time) const;
    std::chrono::milliseconds ownCoalesceTime() const;
    std::chrono::milliseconds sharedCoalesceTime(const std::string &kind) const;

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    DecisionLog &m_log;
    std::shared_ptr<ObjectSpace> m_space;
    const ServingProtocol &m_protocol;
    std::chrono::milliseconds m_changeBound;
    Targets m_targets;
    EndpointWatcher m_endpoints;
    InstanceDirectory m_directory;
    WatchPeers m_watchPeers;
    std::unique_ptr<RetirementWatcher> m_retirements;
    std::set<std::string> m_evacuated;
    std::vector<std::unique_ptr<KindWatcher>> m_watchers;
    std::array<KindWatcher *, SharedWatchCount> m_shared{};
};

} // namespace pistachiofall
