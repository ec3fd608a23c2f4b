#include "serving/storewatchers.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds CoalesceTimePerWatcher{12};
// Where two instances watch for many, the others learn of each change without a call.
constexpr milliseconds CoalesceTimePerSharedWatcher{40};
constexpr milliseconds MinCoalesceTime{150};
// The part of the time within which a change must be known that changes may be collected for.
constexpr int CoalesceDivisor = 3;

std::unique_ptr<wire::WatchMark> encodeMark(const WatchMark &mark)
{
    const auto most = std::numeric_limits<std::uint32_t>::max();
    const auto age = std::min<std::int64_t>(mark.confirmedAge.count(), most);
    return std::make_unique<wire::WatchMark>(mark.newestChange, static_cast<std::uint32_t>(age));
}

} // namespace

StoreWatchers::StoreWatchers(const asio::any_io_executor &executor, const Clock &clock,
                             DecisionLog &log, MetricsRegistry &metrics,
                             std::shared_ptr<ObjectSpace> space, const ServingProtocol &protocol,
                             const FleetSettings &settings, Targets targets)
    : m_executor(executor)
    , m_clock(clock)
    , m_log(log)
    , m_space(std::move(space))
    , m_protocol(protocol)
    , m_changeBound(settings.changeBound)
    , m_targets(targets)
    , m_endpoints(clock, log, protocol, targets.endpoints, settings.lapsedEntryGrace,
                  [this] { m_targets.scheduler.scheduleUpdate(); })
    , m_directory(clock, log, m_space, targets.peers)
    , m_watchPeers(log, metrics, targets.peers)
{
    addConfigWatcher();
    addEndpointWatcher();
    addEvacuationWatcher();
    if (targets.rollouts != nullptr)
        addRolloutWatcher();
    if (!settings.callers) {
        m_retirements = std::make_unique<RetirementWatcher>(log, m_space, protocol, settings.name,
                                                            executor);
        add(protocol.objectKinds().retirementKind, m_retirements->callbacks());
    }
}

KindWatcher &StoreWatchers::add(const std::string &kind, KindWatcher::Callbacks callbacks)
{
    if (!callbacks.coalesceTime)
        callbacks.coalesceTime = [this] { return ownCoalesceTime(); };
    if (!callbacks.storeRecovered)
        callbacks.storeRecovered = [](SteadyTime) {};
    // Peers learn soon that they need not ask the store themselves.
    callbacks.confirmed = [this] { m_targets.peers.noteUsageChange(); };
    m_watchers.push_back(std::make_unique<KindWatcher>(m_executor, m_clock, m_log, m_space, kind,
                                                       m_changeBound, std::move(callbacks)));
    return *m_watchers.back();
}

void StoreWatchers::addConfigWatcher()
{
    const ObjectKinds names = m_protocol.objectKinds();
    KindWatcher::Callbacks callbacks;
    callbacks.listed = [this, names](const std::vector<SpaceObject> &objects) {
        for (const SpaceObject &object : objects) {
            if (object.name == names.configName)
                m_targets.config.applyIfNewer(object.spec, "store");
        }
    };
    callbacks.changed = [this, names](const SpaceEvent &event) {
        if (event.object.name == names.configName && !event.isRemoved)
            m_targets.config.applyIfNewer(event.object.spec, "store");
    };
    m_shared[ConfigWatch] = &add(names.configKind, std::move(callbacks));
}

void StoreWatchers::addEndpointWatcher()
{
    KindWatcher::Callbacks callbacks;
    callbacks.listed = [this](const std::vector<SpaceObject> &objects) {
        m_endpoints.applyListing(objects);
    };
    callbacks.changed = [this](const SpaceEvent &event) { m_endpoints.applyEvent(event); };
    callbacks.storeRecovered = [this](SteadyTime recoveredAt) {
        m_endpoints.storeRecovered(recoveredAt);
    };
    const std::string kind = m_protocol.objectKinds().endpointKind;
    shareWatch(callbacks, kind);
    m_shared[EndpointWatch] = &add(kind, std::move(callbacks));
}

void StoreWatchers::addEvacuationWatcher()
{
    KindWatcher::Callbacks callbacks;
    callbacks.listed = [this](const std::vector<SpaceObject> &objects) {
        m_evacuated.clear();
        for (const SpaceObject &object : objects)
            m_evacuated.insert(object.name);
        applyEvacuations();
    };
    callbacks.changed = [this](const SpaceEvent &event) {
        if (event.isRemoved)
            m_evacuated.erase(event.object.name);
        else
            m_evacuated.insert(event.object.name);
        applyEvacuations();
    };
    const std::string kind = m_protocol.objectKinds().evacuationKind;
    shareWatch(callbacks, kind);
    m_shared[EvacuationWatch] = &add(kind, std::move(callbacks));
}

void StoreWatchers::addRolloutWatcher()
{
    const std::string kind = m_protocol.objectKinds().rolloutKind;
    KindWatcher::Callbacks callbacks = m_targets.rollouts->watcherCallbacks();
    shareWatch(callbacks, kind);
    m_shared[RolloutWatch] = &add(kind, std::move(callbacks));
}

// The configuration is not shared: its watch also shows each instance whether the store answers it.
void StoreWatchers::shareWatch(KindWatcher::Callbacks &callbacks, const std::string &kind)
{
    callbacks.group = [this, kind] { return m_watchPeers.group(kind); };
    callbacks.fetchChanges = [this](std::string name, std::uint64_t revision) {
        return m_watchPeers.fetch(std::move(name), revision);
    };
    callbacks.isStoreLost = [this] { return m_shared[ConfigWatch]->isFailing(); };
    callbacks.coalesceTime = [this, kind] { return sharedCoalesceTime(kind); };
}

void StoreWatchers::applyEvacuations()
{
    m_log.info("evacuations_in_force", {{"domains", std::uint64_t{m_evacuated.size()}}});
    m_targets.endpoints.setEvacuatedDomains(m_evacuated, m_clock.now());
    m_targets.scheduler.scheduleUpdate();
}

void StoreWatchers::start()
{
    for (const auto &watcher : m_watchers)
        watcher->start();
    asio::co_spawn(m_executor, m_directory.run(), asio::detached);
}

void StoreWatchers::tick()
{
    m_endpoints.removeExpired();
    for (KindWatcher *watcher : m_shared) {
        if (watcher != nullptr)
            watcher->checkFreshness(
                    [this, watcher] { return m_watchPeers.group(watcher->kind()).rank; });
    }
}

// Endpoints that start together cause many changes within a second, and each response to a watch
// costs one further call from each instance that watches. The time therefore grows with these.
milliseconds StoreWatchers::boundedCoalesceTime(milliseconds time) const
{
    return std::clamp<milliseconds>(time, MinCoalesceTime,
                                    std::max(MinCoalesceTime, m_changeBound / CoalesceDivisor));
}

milliseconds StoreWatchers::ownCoalesceTime() const
{
    const auto members = static_cast<std::int64_t>(m_targets.peers.memberNames().size());
    return boundedCoalesceTime(CoalesceTimePerWatcher * members);
}

// Each group of instances that share the watch is taken to have the size of this one.
milliseconds StoreWatchers::sharedCoalesceTime(const std::string &kind) const
{
    const std::size_t size = m_watchPeers.group(kind).size;
    if (size < WatchSharing::MinGroupSize)
        return ownCoalesceTime();
    const std::size_t members = m_targets.peers.memberNames().size();
    const std::size_t groups = (members + size - 1) / size;
    const auto watchers = static_cast<std::int64_t>(groups * WatchSharing::WatchersPerGroup);
    return boundedCoalesceTime(CoalesceTimePerSharedWatcher * watchers);
}

void StoreWatchers::fillReport(wire::FleetReportT &report) const
{
    const auto now = m_clock.now();
    report.configMark = encodeMark(m_shared[ConfigWatch]->freshness().mark(now));
    report.endpointMark = encodeMark(m_shared[EndpointWatch]->freshness().mark(now));
    report.evacuationMark = encodeMark(m_shared[EvacuationWatch]->freshness().mark(now));
    if (hasWatch(RolloutWatch))
        report.rolloutMark = encodeMark(m_shared[RolloutWatch]->freshness().mark(now));
}

void StoreWatchers::handleReport(const std::string &peer, const wire::FleetReportT &report)
{
    const std::array<const wire::WatchMark *, SharedWatchCount> marks{
            report.configMark.get(), report.endpointMark.get(), report.evacuationMark.get(),
            report.rolloutMark.get()};
    for (std::size_t watch = 0; watch < SharedWatchCount; ++watch) {
        // Instances of an earlier version report no marks.
        if (marks[watch] == nullptr || !hasWatch(watch))
            continue;
        const std::uint64_t newestChange = marks[watch]->newestChange();
        m_watchPeers.recordMark(peer, m_shared[watch]->kind(), newestChange);
        m_shared[watch]->freshness().recordPeer(
                {newestChange, milliseconds{marks[watch]->confirmedAgeMs()}}, m_clock.now());
    }
}

wire::ChangesDataT StoreWatchers::passChanges(const wire::ChangesFetchT &fetch) const
{
    for (const KindWatcher *watcher : m_shared) {
        if (watcher != nullptr && watcher->kind() == fetch.kind)
            return WatchPeers::encode(watcher->changesSince(fetch.knownRevision));
    }
    return {};
}

SteadyTime StoreWatchers::lastContact() const
{
    SteadyTime newest = m_directory.lastContact();
    for (const auto &watcher : m_watchers)
        newest = std::max(newest, watcher->lastContact());
    return newest;
}

void StoreWatchers::updateMetrics(MetricsRegistry &metrics) const
{
    const auto now = m_clock.now();
    for (const KindWatcher *watcher : m_shared) {
        if (watcher == nullptr)
            continue;
        const auto age = duration_cast<milliseconds>(now - watcher->confirmedAt());
        metrics.gauge("watch_age_ms", {{"kind", watcher->kind()}}).set(age.count());
        metrics.gauge("watch_follows_peers", {{"kind", watcher->kind()}})
                .set(watcher->isFollowing() ? 1 : 0);
    }
    const auto age = duration_cast<milliseconds>(now - m_shared[ConfigWatch]->confirmedAt());
    metrics.gauge("config_age_ms").set(age.count());
}

} // namespace pistachiofall
