#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "coord/coordtimes.h"
#include "fleet/watchfreshness.h"
#include "fleet/watchsharing.h"
#include "store/changehistory.h"
#include "store/objectspace.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Changes that a peer has passed on, and how old what it knows is.
struct PeerChanges
{
    SpaceChanges changes;
    /// How long ago the store confirmed that there was no change after these.
    std::chrono::milliseconds confirmedAge{0};
    /// How long ago the last outage of the store ended for the peer.
    std::chrono::milliseconds recoveredAge{0};
};

/// Watches the objects of one kind: lists them all, then watches for changes, and lists again when
/// the store no longer keeps the changes since the last revision seen or watches keep failing. An
/// open watch is not trusted: checkFreshness() opens a new one when this one stays silent about a
/// change. In a large fleet it follows peers that watch, instead of a watch of its own. Not thread
/// safe.
class KindWatcher
{
public:
    /// The place of this instance among those that share the watch.
    struct WatchGroup
    {
        std::size_t rank = 0;
        std::size_t size = 1;
    };

    struct Callbacks
    {
        /// All current objects of the kind. An object that is not in the list has been removed.
        std::function<void(const std::vector<SpaceObject> &objects)> listed;
        std::function<void(const SpaceEvent &event)> changed;
        /// How long to wait after changes before the next watch, so that further changes are
        /// received together.
        std::function<std::chrono::milliseconds()> coalesceTime;
        /// The store has responded again, then, after an outage of at least 1 s
        /// (MinReportedOutage).
        std::function<void(SteadyTime recoveredAt)> storeRecovered;
        /// The store has confirmed, outside the watch, that there is no newer change or which.
        std::function<void()> confirmed;
        /// The rank and the size of the group of this instance, as WatchSharing::shouldFollow()
        /// takes them. Empty for a kind that each instance watches itself.
        std::function<WatchGroup()> group;
        /// Fetches the changes after the revision from a peer that watches. NotFound if the peer
        /// does not know all of them, Unavailable if none answers.
        std::function<ObjectSpace::Async<PeerChanges>(std::string kind, std::uint64_t revision)>
                fetchChanges;
        /// Whether the store does not answer this instance at present. A follower then asks
        /// nothing.
        std::function<bool()> isStoreLost;
    };

    KindWatcher(const boost::asio::any_io_executor &executor, const Clock &clock, DecisionLog &log,
                std::shared_ptr<ObjectSpace> space, std::string kind,
                std::chrono::milliseconds changeBound, Callbacks callbacks);

    /// Starts to list and to watch. Runs as long as the executor.
    void start();

    /// Asks the store for changes if the freshness calls for it, and opens a new watch if this
    /// instance lags behind its peers. The rank is that of WatchFreshness::shouldAsk(), and is
    /// computed only if it matters. To be called periodically.
    void checkFreshness(const std::function<std::size_t()> &askRank);

    /// The last time when the store was known to be available: its last response, or now while a
    /// watch is open.
    SteadyTime lastContact() const;
    /// The time as of which all changes are known, from the store or from a peer; the time of the
    /// creation before the first response.
    SteadyTime confirmedAt() const { return m_freshness.confirmedAt().value_or(m_created); }
    const std::string &kind() const { return m_kind; }
    /// Whether all objects have been listed at least once.
    bool hasListed() const { return m_hasListed; }
    WatchFreshness &freshness() { return m_freshness; }
    /// Whether calls to the store have failed since its last response.
    bool isFailing() const { return m_failures > 0; }
    /// Whether this instance follows its peers at present.
    bool isFollowing() const { return m_isFollowing; }
    /// What this instance can pass on; nothing if it does not know all changes since the revision.
    std::optional<PeerChanges> changesSince(std::uint64_t revision) const;

private:
    enum class Restart {
        /// Goes on with a watch from the last known revision.
        Watch,
        /// Lists all objects first.
        List,
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> listAll(int generation);
    boost::asio::awaitable<void> watchOnce(int generation);
    boost::asio::awaitable<void> followOnce(int generation);
    boost::asio::awaitable<void> askForChanges();
    boost::asio::awaitable<void> handleFailure(Error error, std::string_view call);
    void applyChanges(const SpaceChanges &changes);
    void restart(Restart how, std::string_view reason);
    void noteResponse();
    void noteRecovery(SteadyTime recoveredAt);
    bool decideFollowing();

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    DecisionLog &m_log;
    std::shared_ptr<ObjectSpace> m_space;
    std::string m_kind;
    Callbacks m_callbacks;
    WatchFreshness m_freshness;
    WatchSharing m_sharing;
    ChangeHistory m_history;
    SteadyTime m_created;
    std::uint64_t m_revision = 0;
    /// Grows with each restart; calls of an earlier generation have no effect when they return.
    int m_generation = 0;
    bool m_hasListed = false;
    bool m_needsListing = true;
    bool m_isWatching = false;
    bool m_isAsking = false;
    bool m_isFollowing = false;
    std::optional<SteadyTime> m_recoveredAt;
    SteadyTime m_lastResponse{};
    /// Failed calls in a row, and failed watches without a successful one between them.
    int m_failures = 0;
    int m_watchFailures = 0;
};

} // namespace pistachiofall
