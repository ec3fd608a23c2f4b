#include "node/coordination.h"

#include "coord/heartbeattargets.h"
#include "coord/ruleswatchers.h"
#include "wire/body.h"
#include "wire/sleep.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds HeartbeatTimeout{1500};
// A member that was not heard for as long may have lost what it knew of this instance.
constexpr milliseconds AddressInterval{3000};
// A way to a member in another region and back.
constexpr milliseconds DrainedNoticeTime{200};
// One heartbeat of so many has the address also for members that are heard. It is no multiple of
// common fleet sizes, so each member gets its turn.
constexpr std::uint64_t AddressEvery = 11;
// Stands for "no confirmation yet" in a heartbeat.
constexpr std::uint32_t NoConfirmation = 0xffffffff;

std::uint32_t ageToWire(std::optional<milliseconds> age)
{
    if (!age)
        return NoConfirmation;
    return static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(age->count(), 0, NoConfirmation - 1));
}

std::optional<milliseconds> ageFromWire(std::uint32_t age)
{
    if (age == NoConfirmation)
        return std::nullopt;
    return milliseconds{age};
}

} // namespace

Coordination::Coordination(asio::any_io_executor executor, const Clock &clock,
                           MetricsRegistry &metrics, InstanceIdentity identity,
                           std::size_t shardCount, std::shared_ptr<ObjectStore> store,
                           PeerClient &peers, Callbacks callbacks)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_identity(std::move(identity))
    , m_shardCount(shardCount)
    , m_startedAt(clock.now())
    , m_store(std::move(store))
    , m_peers(peers)
    , m_callbacks(std::move(callbacks))
    , m_heartbeatsFailed(metrics.counter("heartbeats_failed_total"))
    , m_membership(m_identity.name)
    , m_contact(m_identity.name)
    , m_limits(HolderId{m_identity.name, m_identity.incarnation})
    , m_rules(metrics, m_store, peers,
              [this] {
                  m_callbacks.rulesChanged();
                  if (isWatcher())
                      pushToDomain();
              })
    , m_table(clock, metrics, HolderId{m_identity.name, m_identity.incarnation}, m_store, peers,
              m_limits,
              {[this] {
                   m_callbacks.tableChanged();
                   pushToDomain();
               },
               [this](const std::string &name) { return addressOf(name); }})
    , m_list(clock, metrics, m_store, peers,
             {[this](const ListReading &reading) { listTaken(reading); },
              [this] { pushToDomain(); }, [this] { return isWatcher(); }})
    , m_rulesFollower(
              clock, m_store, std::string(RulesHeadName),
              {[this](StoredObject object) { return m_rules.take(std::move(object)); },
               [this] { m_rules.setInitialized(); },
               [this](SteadyTime time) { m_contact.confirmed(ConfirmedObject::Rules, time); },
               [this](SteadyTime time) { m_contact.storeFailed(time); },
               [this] { return isWatcher(); },
               [this] { return m_contact.confirmationAge(m_clock.now()); }})
    , m_tableObjectFollower(
              clock, m_store, TableFollower::ObjectName,
              {[this](StoredObject object) { return m_table.take(std::move(object)); },
               [this] { m_table.setMissing(); },
               [this](SteadyTime time) { m_contact.confirmed(ConfirmedObject::ShardTable, time); },
               [this](SteadyTime time) { m_contact.storeFailed(time); },
               [this] { return isWatcher(); },
               [this] { return m_contact.confirmationAge(m_clock.now()); }})
{ }

void Coordination::start()
{
    asio::co_spawn(m_executor, m_rulesFollower.run(), asio::detached);
    asio::co_spawn(m_executor, m_tableObjectFollower.run(), asio::detached);
    asio::co_spawn(m_executor, sendHeartbeats(), asio::detached);
    asio::co_spawn(m_executor, m_list.run(), asio::detached);
    asio::co_spawn(m_executor, tellEnded(), asio::detached);
    asio::co_spawn(m_executor, planChanges(), asio::detached);
}

asio::awaitable<void> Coordination::announceDrained()
{
    m_isDrained = true;
    for (const Member &member : m_membership.members())
        asio::co_spawn(m_executor, sendHeartbeat(member), asio::detached);
    co_await sleepFor(DrainedNoticeTime);
}

wire::HeartbeatT Coordination::heartbeatReceived(const wire::HeartbeatT &heartbeat)
{
    learnFrom(heartbeat);
    asio::co_spawn(m_executor, catchUp(heartbeat), asio::detached);
    auto answer = ownHeartbeat(m_clock.now(), false);
    if (heartbeat.wantsList)
        m_list.describe(answer, m_clock.now());
    return answer;
}

std::optional<HolderId> Coordination::holderOf(const std::string &name, std::size_t place) const
{
    const auto table = m_table.table();
    if (!table)
        return std::nullopt;
    return shardFor(*table, name)[place].holder;
}

bool Coordination::knowsHolders(SteadyTime now) const
{
    const auto table = m_table.table();
    if (!table)
        return false;
    if (now - m_table.firstTableAt() >= HolderWait)
        return true;
    for (const Shard &shard : table->shards) {
        for (const ShardPlace &place : shard) {
            const std::string &name = place.holder.instance;
            if (name != m_identity.name && !m_membership.find(name))
                return false;
        }
    }
    return true;
}

bool Coordination::hasEnded(const std::string &member)
{
    return m_ended.endedSince(member, m_clock.now()).has_value();
}

bool Coordination::holdsPlaces() const
{
    const auto table = m_table.table();
    if (!table)
        return false;
    const Holdings holdings = holdingsOf(*table, {m_identity.name, m_identity.incarnation});
    return !holdings[FirstPlace].empty() || !holdings[SecondPlace].empty();
}

wire::HeartbeatT Coordination::ownHeartbeat(SteadyTime now, bool withAddress) const
{
    wire::HeartbeatT heartbeat;
    heartbeat.instance = m_identity.name;
    heartbeat.incarnation = m_identity.incarnation;
    if (withAddress) {
        heartbeat.address = m_identity.peerAddress;
        heartbeat.failureDomain = m_identity.failureDomain;
    }
    // The age is read first: a version may be newer than the confirmation, never older.
    heartbeat.storeAgeMs = ageToWire(m_contact.reportedAge(now));
    heartbeat.rulesVersion = m_rules.version();
    heartbeat.tableEpoch = m_limits.newestEpoch();
    heartbeat.leaving = m_isLeaving;
    heartbeat.drained = m_isDrained;
    if (m_list.hasNews(now))
        m_list.describe(heartbeat, now);
    return heartbeat;
}

void Coordination::learnFrom(const wire::HeartbeatT &heartbeat)
{
    m_membership.applyHeartbeat(heartbeat, m_clock.now());
    m_limits.announceEpoch(heartbeat.tableEpoch);
}

asio::awaitable<void> Coordination::catchUp(wire::HeartbeatT heartbeat)
{
    const auto member = m_membership.find(heartbeat.instance);
    if (!member)
        co_return;
    // Apart from the rest, so that a slow transfer of the list delays no confirmation of the rules.
    asio::co_spawn(m_executor, m_list.noticed(member->address, heartbeat), asio::detached);
    if (heartbeat.rulesVersion > m_rules.version())
        co_await m_rules.pull(member->address);
    if (heartbeat.tableEpoch > m_table.epoch())
        co_await m_table.pull(member->address);
}

asio::awaitable<void> Coordination::sendHeartbeats()
{
    std::mt19937_64 random(m_identity.incarnation);
    for (;;) {
        const auto now = m_clock.now();
        std::vector<std::string> names;
        for (const Member &member : m_membership.members())
            names.push_back(member.name);
        m_contact.setMembers(names, now);
        for (const std::string &target : heartbeatTargets(std::move(names), random)) {
            const auto member = m_membership.find(target);
            if (member)
                asio::co_spawn(m_executor, sendHeartbeat(*member), asio::detached);
        }
        co_await sleepFor(HeartbeatInterval);
    }
}

asio::awaitable<void> Coordination::sendHeartbeat(Member member, SenderAddress senderAddress)
{
    const auto sentAt = m_clock.now();
    m_contact.heartbeatSent(member.name, sentAt);
    // The address is two fifths of a heartbeat, and a member that was heard has it.
    const bool isKnown = member.lastHeard && sentAt - *member.lastHeard < AddressInterval;
    const bool withAddress = senderAddress == SenderAddress::Always || !isKnown
            || m_heartbeatsSent++ % AddressEvery == 0;
    auto heartbeat = ownHeartbeat(sentAt, withAddress);
    heartbeat.wantsList = m_list.wantsNews(sentAt);
    wire::BodyUnion body = makeBody(std::move(heartbeat));
    auto reply = co_await m_peers.call(member.address, std::move(body), HeartbeatTimeout);
    const wire::HeartbeatT *answer = isOk(reply) ? valueOf(reply).AsHeartbeat() : nullptr;
    if (answer == nullptr) {
        m_heartbeatsFailed.add();
        m_membership.heartbeatUnanswered(member.name, sentAt);
        const auto refusedAt = m_peers.refusedAt(member.address);
        if (refusedAt && *refusedAt >= sentAt)
            m_contact.memberEnded(member.name, *refusedAt);
        co_return;
    }
    if (answer->instance != member.name)
        co_return;
    m_ended.recordAnswer(member.name, sentAt);
    learnFrom(*answer);
    // A new process on the instance has not heard this address yet.
    if (!withAddress && answer->incarnation != member.incarnation)
        asio::co_spawn(m_executor, sendHeartbeat(member, SenderAddress::Always), asio::detached);
    m_list.answered(*answer, sentAt);
    co_await catchUp(*answer);
    // A confirmation counts only for rules that are in force here.
    if (m_rules.version() < answer->rulesVersion)
        co_return;
    const auto age = ageFromWire(answer->storeAgeMs);
    m_contact.heartbeatAnswered(member.name, sentAt, age);
    if (age) {
        m_contact.confirmed(ConfirmedObject::Rules, sentAt - *age);
        m_contact.confirmed(ConfirmedObject::ShardTable, sentAt - *age);
        m_rules.setInitialized();
    }
}

void Coordination::listTaken(const ListReading &reading)
{
    std::vector<std::string> names;
    for (const ListedInstance &instance : reading.list->instances)
        names.push_back(instance.name);
    const auto now = m_clock.now();
    m_membership.applyList(*reading.list, reading.asOf);
    m_ended.recordSnapshot(reading.list->version, names, reading.asOf, now);
}

asio::awaitable<void> Coordination::tellEnded()
{
    for (;;) {
        for (const PlannerEnded &ended : endedHolders()) {
            m_contact.memberEnded(ended.instance, ended.since);
            m_callbacks.memberEnded(ended.instance);
        }
        co_await sleepFor(EndedInterval);
    }
}

asio::awaitable<void> Coordination::planChanges()
{
    for (;;) {
        co_await sleepFor(PlanInterval);
        const auto now = m_clock.now();
        if (!isIsolated(now))
            co_await m_table.makeChange(plannerView(now));
    }
}

void Coordination::pushToDomain()
{
    const auto members = m_membership.members();
    const bool isSmall = members.size() <= MaxFullMeshPeers;
    for (const Member &member : members) {
        if (isSmall || member.failureDomain == m_identity.failureDomain)
            asio::co_spawn(m_executor, sendHeartbeat(member), asio::detached);
    }
}

std::optional<SocketAddress> Coordination::addressOf(const std::string &instance) const
{
    const auto member = m_membership.find(instance);
    if (!member)
        return std::nullopt;
    return member->address;
}

bool Coordination::isWatcher() const
{
    const auto now = m_clock.now();
    std::vector<std::string> domain{m_identity.name};
    const auto members = m_membership.members();
    const bool isFullMesh = members.size() <= MaxFullMeshPeers;
    for (const Member &member : members) {
        // A member that does not answer does not watch for the others.
        if (member.failureDomain == m_identity.failureDomain && !member.isLeaving
            && isAnswering(member, isFullMesh, now))
            domain.push_back(member.name);
    }
    return isRulesWatcher(m_identity.name, domain);
}

bool Coordination::isAnswering(const Member &member, bool isFullMesh, SteadyTime now) const
{
    if (isFullMesh)
        return member.lastHeard && now - *member.lastHeard < IsolationTimeout;
    // With random targets most members are heard less often than IsolationTimeout. Taking them for
    // silent would make nearly every instance of a large fleet a watcher.
    return !member.lastUnanswered
            || (member.lastHeard && *member.lastHeard > *member.lastUnanswered);
}

PlannerView Coordination::plannerView(SteadyTime now)
{
    PlannerView view;
    view.self = {m_identity.name, m_identity.incarnation};
    view.members.push_back({view.self, m_identity.failureDomain, m_isLeaving});
    for (const Member &member : m_membership.members()) {
        // Places go to instances that answer; what a silent one holds stays with it.
        if (member.lastHeard && now - *member.lastHeard < IsolationTimeout)
            view.members.push_back(
                    {{member.name, member.incarnation}, member.failureDomain, member.isLeaving});
    }
    view.ended = endedHolders();
    view.shardCount = m_shardCount;
    view.startedAt = m_startedAt;
    view.now = now;
    return view;
}

std::vector<PlannerEnded> Coordination::endedHolders()
{
    std::set<std::string> names;
    if (const auto table = m_table.table()) {
        for (const Shard &shard : table->shards) {
            for (const ShardPlace &place : shard)
                names.insert(place.holder.instance);
        }
    }
    const auto now = m_clock.now();
    for (const Member &member : m_membership.members())
        names.insert(member.name);
    std::vector<PlannerEnded> ended;
    for (const std::string &name : names) {
        const auto since = m_ended.endedSince(name, now);
        if (since && name != m_identity.name)
            ended.push_back(PlannerEnded{name, *since});
    }
    return ended;
}

} // namespace pistachiofall
