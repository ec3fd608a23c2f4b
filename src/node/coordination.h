#pragma once

#include "base/clock.h"
#include "coord/endedinstances.h"
#include "coord/isolationmonitor.h"
#include "coord/shardratelimiter.h"
#include "metrics/metricsregistry.h"
#include "node/instanceidentity.h"
#include "node/listfollower.h"
#include "node/membership.h"
#include "node/objectfollower.h"
#include "node/rulesfollower.h"
#include "node/tablefollower.h"
#include "store/objectstore.h"
#include "wire/peerclient.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// What one instance knows of the fleet and keeps in step with it: members, contact, rules and the
/// shard table. Thread safe.
class Coordination
{
public:
    struct Callbacks
    {
        std::function<void()> rulesChanged;
        std::function<void()> tableChanged;
        /// The member is proved to have ended. Called again in each round of checks.
        std::function<void(const std::string &)> memberEnded;
    };

    Coordination(boost::asio::any_io_executor executor, const Clock &clock,
                 MetricsRegistry &metrics, InstanceIdentity identity, std::size_t shardCount,
                 std::shared_ptr<ObjectStore> store, PeerClient &peers, Callbacks callbacks);

    /// Starts the loops, which run until the executor stops.
    void start();

    /// A heartbeat from another instance; returns the answer to it.
    wire::HeartbeatT heartbeatReceived(const wire::HeartbeatT &heartbeat);

    /// From now on this instance gives its places in the shard table away and gets none.
    void setLeaving() { m_isLeaving = true; }
    /// Tells all members that nothing of this process is in flight any more, so that nobody waits
    /// for its answers when it has ended. Returns when each had the time to hear it.
    boost::asio::awaitable<void> announceDrained();
    bool isLeaving() const { return m_isLeaving; }

    /// Whether this instance may not serve at this moment. Decisions use the same time for this and
    /// for what they grant.
    bool isIsolated(SteadyTime now) const { return m_contact.isIsolated(now); }

    const InstanceIdentity &identity() const { return m_identity; }
    Membership &membership() { return m_membership; }
    RulesFollower &rules() { return m_rules; }
    const ListFollower &list() const { return m_list; }
    TableFollower &table() { return m_table; }
    const TableFollower &table() const { return m_table; }
    ShardRateLimiter &limits() { return m_limits; }
    IsolationMonitor &contact() { return m_contact; }

    /// The holder of a place of the name's shard; nothing before the first table.
    std::optional<HolderId> holderOf(const std::string &name, std::size_t place) const;
    /// Whether the addresses of all holders are known, or their heartbeats have had the time to
    /// come. An instance that starts while the store is down has the table at once but learns of
    /// the members one by one, and requests need their holders.
    bool knowsHolders(SteadyTime now) const;
    /// Whether the member is proved to have ended.
    bool hasEnded(const std::string &member);
    /// Whether this process holds a place of any shard.
    bool holdsPlaces() const;

    static constexpr std::chrono::milliseconds HeartbeatInterval{1000};
    static constexpr std::chrono::milliseconds EndedInterval{1000};
    static constexpr std::chrono::milliseconds PlanInterval{1000};
    /// From the first table on. Each member sends a heartbeat a second, so this is two of them.
    static constexpr std::chrono::milliseconds HolderWait{2500};

private:
    wire::HeartbeatT ownHeartbeat(SteadyTime now, bool withAddress) const;
    void learnFrom(const wire::HeartbeatT &heartbeat);
    boost::asio::awaitable<void> catchUp(wire::HeartbeatT heartbeat);
    boost::asio::awaitable<void> sendHeartbeats();
    enum class SenderAddress { WhenNeeded, Always };
    boost::asio::awaitable<void>
    sendHeartbeat(Member member, SenderAddress senderAddress = SenderAddress::WhenNeeded);
    void listTaken(const ListReading &reading);
    boost::asio::awaitable<void> tellEnded();
    boost::asio::awaitable<void> planChanges();
    void pushToDomain();
    std::optional<SocketAddress> addressOf(const std::string &instance) const;
    bool isWatcher() const;
    bool isAnswering(const Member &member, bool isFullMesh, SteadyTime now) const;
    PlannerView plannerView(SteadyTime now);
    std::vector<PlannerEnded> endedHolders();

    const boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    const InstanceIdentity m_identity;
    const std::size_t m_shardCount;
    const SteadyTime m_startedAt;
    const std::shared_ptr<ObjectStore> m_store;
    PeerClient &m_peers;
    const Callbacks m_callbacks;
    Counter &m_heartbeatsFailed;
    std::atomic<bool> m_isLeaving{false};
    std::atomic<bool> m_isDrained{false};
    std::atomic<std::uint64_t> m_heartbeatsSent{0};

    Membership m_membership;
    IsolationMonitor m_contact;
    EndedInstances m_ended;
    ShardRateLimiter m_limits;
    RulesFollower m_rules;
    TableFollower m_table;
    ListFollower m_list;
    ObjectFollower m_rulesFollower;
    ObjectFollower m_tableObjectFollower;
};

} // namespace pistachiofall
