#pragma once

#include "base/decisionlog.h"
#include "metrics/metricsregistry.h"
#include "serving/fleetpeers.h"
#include "serving/kindwatcher.h"
#include "wire/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pistachiofall {

/// The peers with which this instance shares its watches of the store: who of the group watches a
/// kind, and what has changed there. Not thread safe.
class WatchPeers
{
public:
    WatchPeers(DecisionLog &log, MetricsRegistry &metrics, FleetPeers &peers);

    /// The place of this instance among those that report to each other often. The order depends on
    /// the kind, so that different instances watch different kinds.
    KindWatcher::WatchGroup group(const std::string &kind) const;

    /// A peer has reported the newest change that it knows of a kind.
    void recordMark(const std::string &peer, const std::string &kind, std::uint64_t newestChange);

    /// Fetches the changes after the revision from the instances of the group that watch the kind,
    /// first from the one that has reported the newest change. NotFound if one of them answers that
    /// it does not know all changes; Unavailable if none answers.
    ObjectSpace::Async<PeerChanges> fetch(std::string kind, std::uint64_t revision);

    /// The answer to a peer that fetches: what this instance can pass on, or an empty one.
    static wire::ChangesDataT encode(const std::optional<PeerChanges> &changes);

private:
    std::vector<std::string> watchersOf(const std::string &kind) const;
    std::uint64_t newestChangeOf(const std::string &peer, const std::string &kind) const;
    ObjectSpace::Async<PeerChanges> fetchFrom(std::string peer, std::string kind,
                                              std::uint64_t revision);
    Result<PeerChanges> decode(const std::string &peer, const std::string &kind,
                               const wire::ChangesDataT &data);

    DecisionLog &m_log;
    MetricsRegistry &m_metrics;
    FleetPeers &m_peers;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_newestChange;
};

} // namespace pistachiofall
