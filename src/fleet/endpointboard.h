#pragma once

#include "base/clock.h"
#include "coord/workclass.h"
#include "fleet/coldgate.h"
#include "fleet/endpointhealth.h"
#include "fleet/endpointuse.h"
#include "fleet/fleetendpoint.h"
#include "fleet/placement.h"
#include "fleet/servingconfig.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pistachiofall {

/// The endpoints of the fleet, what this instance and its peers use of them, and the choice of one
/// for a request. No endpoint has an owner: each instance sends by itself, on its own use and the
/// last report of each peer, so that no instance's end leaves an endpoint without service. The
/// price is that two instances may take the same free slot within the age of a report; the endpoint
/// then queues one request for the rest of another.
///
/// Not thread safe.
class EndpointBoard
{
public:
    explicit EndpointBoard(std::string instance);

    /// Adds an endpoint or replaces its entry. Returns whether something that decides has changed.
    bool update(const FleetEndpoint &endpoint, SteadyTime now);
    void remove(const std::string &id);
    /// The ids of all endpoints.
    std::vector<std::string> ids() const;
    const FleetEndpoint *find(const std::string &id) const;

    /// The configuration tells which services limit requests to cold endpoints.
    void setConfig(ServingConfig::Ptr config);
    /// Failure domains whose endpoints get nothing. Those of a domain that comes back are taken as
    /// cold.
    void setEvacuated(std::set<std::string> failureDomains, SteadyTime now);
    /// All instances that send requests, this one included.
    void setInstances(std::vector<std::string> instances);

    void beginRun(const std::string &id, WorkClass workClass, SteadyTime now);
    void endRun(const std::string &id, WorkClass workClass, SteadyTime now);
    void noteFailure(const std::string &id, SteadyTime now);
    void noteSuccess(const std::string &id);

    /// Replaces what a peer uses.
    void setPeerUse(const std::string &peer, std::map<std::string, EndpointUse> use,
                    SteadyTime now);
    void forgetPeer(const std::string &peer);

    /// The endpoint for an online request: one with a free slot, else one where a batch item can
    /// make room; nothing when all slots have online requests.
    std::optional<Placement> placeOnline(const PlacementRequest &request, SteadyTime now) const;
    /// The endpoint for a batch item: one with more free slots than the reserve that was not full
    /// a moment ago. Online requests that wait elsewhere take a slot that has just become free; an
    /// item that takes it first would only have to make room again.
    std::optional<Placement> placeBatch(const PlacementRequest &request, int reserve,
                                        SteadyTime now) const;

    /// How many batch items of this instance at the endpoint must make room. When several instances
    /// run batch items there, the one with the most yields first, so that they do not all do it.
    int batchToYield(const std::string &id) const;

    /// The use by this instance.
    std::map<std::string, EndpointUse> ownUse() const;
    EndpointUse totalUse(const std::string &id) const;
    /// All slots of the service's usable endpoints, and how many of them have no online request.
    int slotCount(const std::string &service, SteadyTime now) const;
    int freeOnlineSlots(const std::string &service, SteadyTime now) const;
    /// How many endpoints of the service take requests, or do so again when they are not avoided.
    int endpointCount(const std::string &service, const std::set<std::string> &excluded = {}) const;

private:
    struct Entry
    {
        FleetEndpoint endpoint;
        EndpointUse own;
        EndpointHealth health;
        SteadyTime coldUntil{};
        std::optional<ColdGate> coldGate;
        std::map<std::string, EndpointUse> peers;
        /// The sum of the peers. A choice looks at all endpoints, and a report of a peer changes
        /// few.
        EndpointUse byPeers;
        SteadyTime lastFull{};

        void setPeer(const std::string &peer, const EndpointUse &use);
        EndpointUse total() const;
        bool isFull() const;
    };

    bool isServing(const Entry &entry) const;
    bool isUsable(const Entry &entry, const PlacementRequest &request, SteadyTime now) const;
    bool isCold(const Entry &entry, SteadyTime now) const;
    void makeCold(Entry &entry, std::chrono::milliseconds period, SteadyTime now);
    double coldRate(const std::string &service) const;

    std::string m_instance;
    std::vector<std::string> m_instances;
    ServingConfig::Ptr m_config;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, std::map<std::string, EndpointUse>> m_peerUse;
    std::set<std::string> m_evacuated;
};

} // namespace pistachiofall
