#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "fleet/endpointanswer.h"
#include "fleet/endpointpool.h"
#include "fleet/rollout.h"
#include "fleet/rolloutevidence.h"
#include "fleet/rolloutschedule.h"
#include "metrics/metricsregistry.h"
#include "serving/fleetpeers.h"
#include "serving/kindwatcher.h"
#include "serving/servingprotocol.h"
#include "store/objectspace.h"
#include "wire/messages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Moves services to other versions of their endpoints by the operators' orders. Each instance
/// divides its requests by the stored status of the rollout; the instance that ranks first among
/// those that reach the store leads it and writes the status, under the condition that it has not
/// changed, so that two leaders can not contradict each other. Three instances gather the counts of
/// answers of the whole fleet and judge the version; each instance stops sending to a version that
/// one of them or itself has condemned, also while the store or the leader is away. Not thread
/// safe.
class RolloutDirector
{
public:
    struct Callbacks
    {
        /// The time since the store last answered this instance.
        std::function<std::chrono::milliseconds()> storeAge;
        /// The division of requests has changed.
        std::function<void()> changed;
    };

    RolloutDirector(const boost::asio::any_io_executor &executor, const Clock &clock,
                    DecisionLog &log, MetricsRegistry &metrics, const ServingProtocol &protocol,
                    std::shared_ptr<ObjectSpace> space, EndpointPool &endpoints, FleetPeers &peers,
                    const RolloutBounds &bounds, Callbacks callbacks);
    ~RolloutDirector();
    RolloutDirector(const RolloutDirector &) = delete;
    RolloutDirector &operator=(const RolloutDirector &) = delete;

    /// Callbacks for a watcher of the orders.
    KindWatcher::Callbacks watcherCallbacks();

    /// Judges the versions, and takes the next steps of the rollouts that this instance leads. To
    /// be called periodically.
    void tick();

    void recordAnswer(const EndpointAnswer &answer);

    /// What this instance tells a peer of its rollouts, and what a peer tells.
    void fillReport(const std::string &peer, wire::FleetReportT &report) const;
    void handleReport(const std::string &peer, const wire::FleetReportT &report);
    void removePeer(const std::string &peer);

private:
    struct Rollout;

    void applyObject(const SpaceObject &object);
    void removeOrder(const std::string &service);
    void adoptStatus(Rollout &rollout, const RolloutStatus &status, std::uint64_t revision,
                     std::string_view source);
    void judge(Rollout &rollout);
    void condemn(Rollout &rollout, std::string_view source);
    void lead(Rollout &rollout);
    void takeStep(Rollout &rollout, const RolloutStep &step);
    RolloutSituation situationOf(Rollout &rollout);
    bool isInForce(const Rollout &rollout) const;
    void startWrite(Rollout &rollout, RolloutStatus status);
    boost::asio::awaitable<void> write(std::string service, SpaceObject object);
    void divideRequests();
    double shareOf(const Rollout &rollout) const;
    bool isIsolated() const;
    std::vector<std::string> rankedInstances(const std::string &service) const;
    bool isJudge(const std::string &service, const std::string &instance) const;
    bool isLeader(const std::string &service) const;
    wire::RolloutViewT viewOf(const Rollout &rollout, bool withCounts) const;
    void updateMetrics(const Rollout &rollout);

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    DecisionLog &m_log;
    MetricsRegistry &m_metrics;
    const ServingProtocol &m_protocol;
    std::shared_ptr<ObjectSpace> m_space;
    EndpointPool &m_endpoints;
    FleetPeers &m_peers;
    RolloutBounds m_bounds;
    Callbacks m_callbacks;
    /// By service.
    std::map<std::string, std::unique_ptr<Rollout>> m_rollouts;
    /// Versions of orders that were withdrawn before they were complete, which stay without
    /// requests.
    std::map<std::string, VersionSplit> m_withdrawn;
    std::map<std::string, VersionSplit> m_splits;
    bool m_areOrdersKnown = false;
};

} // namespace pistachiofall
