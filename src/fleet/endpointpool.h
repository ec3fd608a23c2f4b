#pragma once

#include "base/clock.h"
#include "coord/workclass.h"
#include "fleet/batchturns.h"
#include "fleet/coldstartlimiter.h"
#include "fleet/domainusage.h"
#include "fleet/endpointchoice.h"
#include "fleet/endpointhealth.h"
#include "fleet/endpointspeeds.h"
#include "fleet/endpointusage.h"
#include "fleet/fleetendpoint.h"
#include "fleet/leavingendpoints.h"
#include "fleet/placement.h"
#include "fleet/recentfailures.h"
#include "fleet/servingconfig.h"
#include "fleet/versionroles.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pistachiofall {

/// The endpoints of one version of a service that accept requests, and those of them that are not
/// cold.
struct VersionCounts
{
    int endpoints = 0;
    int warm = 0;
};

/// How evenly the endpoints of a service are used.
struct LoadSpread
{
    int endpoints = 0;
    /// Endpoints without a free slot, and those with two or more.
    int full = 0;
    int withRoom = 0;
};

/// Tracks the endpoints of the fleet and how this instance and its peers use them, and chooses an
/// endpoint for each request. No instance owns an endpoint: each one sends independently, based on
/// its own usage and the last report of each peer, so that no endpoint becomes unreachable when an
/// instance fails. The trade-off is that two instances may choose the same free slot while their
/// reports are out of date; the endpoint then queues one request until another finishes.
///
/// Not thread safe.
class EndpointPool
{
public:
    explicit EndpointPool(std::string instance);

    /// Adds an endpoint or replaces its entry. Returns whether it is new or its address or draining
    /// state has changed.
    bool update(const FleetEndpoint &endpoint, SteadyTime now);
    void remove(const std::string &id);
    /// Returns the ids of all endpoints.
    std::vector<std::string> ids() const;
    const FleetEndpoint *find(const std::string &id) const;

    /// Sets the configuration, which contains the request rates of cold endpoints by service.
    void setConfig(ServingConfig::Ptr config);
    /// Sets the failure domains whose endpoints receive no requests. Endpoints of a failure domain
    /// that is no longer evacuated are assumed to be cold.
    void setEvacuatedDomains(std::set<std::string> failureDomains, SteadyTime now);
    /// Sets all instances that send requests, including this one.
    void setInstances(std::vector<std::string> instances);
    /// Sets how old the reports of peers are. Endpoints whose usage is known late get fewer of the
    /// requests for which there are others.
    void setUsageAge(const UsageAge &age) { m_usageAge = age; }
    const UsageAge &usageAge() const { return m_usageAge; }

    /// Endpoints that have shown to be faster than the others get more of the requests.
    void learnSpeeds() { m_learnsSpeeds = true; }
    /// Endpoints that have failed requests of any instance lately get fewer of them.
    void shareFailures() { m_sharesFailures = true; }
    /// Takes the pace of an answer, or its failure, into account.
    void recordAnswer(const EndpointAnswer &answer, SteadyTime now);
    EndpointSpeeds &speeds() { return m_speeds; }
    RecentFailures &failures() { return m_failures; }

    /// Rollouts of versions may come; see VersionRoles::enable().
    void enableRollouts(std::chrono::milliseconds newVersionHold);
    /// Sets which versions the services' requests go to, by service.
    void setVersionSplits(const std::map<std::string, VersionSplit> &splits, SteadyTime now);
    bool knowsVersionSplits() const { return m_versions.knowsSplits(); }
    /// Counts the endpoints of a version of the service.
    VersionCounts countVersion(const std::string &service, const std::string &version,
                               SteadyTime now) const;
    /// The number of requests that run at endpoints of other versions of the service.
    int requestsAtOtherVersions(const std::string &service, const std::string &version) const;

    void requestStarted(const std::string &id, WorkClass workClass, SteadyTime now);
    void requestFinished(const std::string &id, WorkClass workClass, SteadyTime now);
    void recordFailure(const std::string &id, SteadyTime now);
    void recordSuccess(const std::string &id);

    /// Replaces the reported usage of a peer.
    void setPeerUsage(const std::string &peer, std::map<std::string, EndpointUsage> usage,
                      SteadyTime now);
    void removePeer(const std::string &peer);
    /// Sets the failure domain of a peer, before its usage.
    void setPeerDomain(const std::string &peer, const std::string &failureDomain);
    /// Replaces the usage by all instances of another failure domain, as one of them knows it.
    /// While such summaries come, they count in place of the reports of its single instances.
    void setDomainUsage(const std::string &failureDomain, int instances,
                        const std::vector<DomainUsageMark> &usage, SteadyTime now);
    /// The usage by this instance and by its peers in the failure domain given, by their reports.
    std::vector<DomainUsageMark> usageByDomain(const std::string &failureDomain);
    /// Replaces the numbers of batch items that wait at a peer, by service.
    void setPeerWaitingItems(const std::string &peer,
                             const std::map<std::string, std::uint32_t> &items, bool isSameDomain)
    {
        m_batchTurns.setWaiting(peer, items, isSameDomain);
    }

    /// Returns the endpoint for an online request: one with a free slot, otherwise one where a
    /// batch item can be preempted. Returns nothing if all slots are taken by online requests.
    std::optional<Placement> placeOnline(const PlacementRequest &request, SteadyTime now) const;
    /// Returns the endpoint for a batch item: one where this instance has its turn, that has more
    /// free slots than the margin and was not full a moment ago. A slot that has just become free
    /// is left to online requests that wait at other instances; a batch item that took it would be
    /// preempted again. The endpoint at which the item ran before comes first.
    std::optional<Placement> placeBatch(const PlacementRequest &request,
                                        const FreeSlotMargin &margin, SteadyTime now) const;

    /// Returns how many batch items of this instance at the endpoint must be preempted. If several
    /// instances run batch items there, the one with the most preempts its items first, so that
    /// they do not all preempt for the same online request.
    int batchItemsToPreempt(const std::string &id) const;

    /// Returns the usage by this instance, by endpoint.
    std::map<std::string, EndpointUsage> localUsage() const;
    EndpointUsage totalUsage(const std::string &id) const;
    /// Return the number of slots of the service's usable endpoints, and the number of those slots
    /// that have no online request.
    int slotCount(const std::string &service, SteadyTime now) const;
    int availableOnlineSlots(const std::string &service, SteadyTime now) const;
    /// How the load is spread over the service's endpoints at present.
    LoadSpread loadSpread(const std::string &service) const;
    /// The process of an endpoint has announced that it leaves: it gets nothing new, whatever its
    /// entry says. Returns whether this is news.
    bool markLeaving(const EndpointIncarnation &endpoint, SteadyTime now);
    /// The announcements to tell peers.
    std::vector<EndpointIncarnation> recentlyLeaving(SteadyTime now) const
    {
        return m_leaving.recent(now);
    }
    /// Forgets old announcements and summaries, lets versions serve whose time of waiting for an
    /// order is over, and takes new speeds and failures into account. To be called periodically.
    void removeExpired(SteadyTime now);

    /// Whether the endpoint is in the pool, of that service and accepts requests.
    bool accepts(const std::string &id, const std::string &service) const;
    /// Returns how many endpoints of the service accept requests, including those that are in
    /// backoff after failures.
    int endpointCount(const std::string &service, const std::set<std::string> &excluded = {}) const;

private:
    struct Entry
    {
        explicit Entry(const FleetEndpoint &registered)
            : endpoint(registered)
        { }

        FleetEndpoint endpoint;
        EndpointUsage local;
        EndpointHealth health;
        SteadyTime coldUntil{};
        std::optional<ColdStartLimiter> coldStartLimiter;
        std::map<std::string, EndpointUsage> peers;
        /// The sums of the peers' reports and the summaries, by the index of the failure domain.
        std::vector<EndpointUsage> reported;
        std::vector<EndpointUsage> summarised;
        /// The usage by all peers, which is maintained because each choice reads all endpoints
        /// while a peer's report changes only a few.
        EndpointUsage peerTotal;
        SteadyTime lastFull{};
        /// The endpoint has announced that it leaves.
        bool isLeaving = false;
        VersionRole versionRole = VersionRole::Unrestricted;
        std::uint64_t speedKey = 0;
        double preference = 1;

        void setPeerUsage(const std::string &peer, std::size_t domain, const EndpointUsage &usage,
                          const DomainUsage &domains);
        void sumPeers(const DomainUsage &domains);
        EndpointUsage total() const;
        bool isFull() const;
    };

    bool isInService(const Entry &entry) const;
    bool isServing(const Entry &entry) const;
    bool isCounted(const Entry &entry, const std::string &service) const;
    void assignVersionRoles(const std::string &service, SteadyTime now);
    void assignAllVersionRoles(SteadyTime now);
    std::vector<VersionRole> versionPreferences(const PlacementRequest &request) const;
    const Entry *findOnline(const PlacementRequest &request, VersionRole role, SteadyTime now,
                            bool &isFull) const;
    const Entry *findBatch(const PlacementRequest &request, const FreeSlotMargin &margin,
                           VersionRole role, SteadyTime now) const;
    EndpointCandidate candidate(const Entry &entry, const PlacementRequest &request,
                                SteadyTime now) const;
    bool isUsable(const Entry &entry, const PlacementRequest &request, SteadyTime now) const;
    bool isCold(const Entry &entry, SteadyTime now) const;
    void markCold(Entry &entry, std::chrono::milliseconds period, SteadyTime now);
    void updatePreferences(SteadyTime now);
    std::size_t domainOf(const std::string &peer);
    void sumAllPeers();
    double coldRate(const std::string &service) const;
    bool mayStartBatch(const Entry &entry, const PlacementRequest &request, SteadyTime now) const;

    std::string m_instance;
    std::vector<std::string> m_instances;
    ServingConfig::Ptr m_config;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, std::map<std::string, EndpointUsage>> m_peerUsage;
    std::map<std::string, std::size_t> m_peerDomains;
    DomainUsage m_domains;
    /// By the lower half of the key of the endpoint's process; null if two share it.
    std::map<std::uint32_t, Entry *> m_entriesByMark;
    std::set<std::string> m_evacuated;
    UsageAge m_usageAge;
    BatchTurns m_batchTurns;
    LeavingEndpoints m_leaving;
    VersionRoles m_versions;
    EndpointSpeeds m_speeds;
    RecentFailures m_failures;
    bool m_learnsSpeeds = false;
    bool m_sharesFailures = false;
};

} // namespace pistachiofall
