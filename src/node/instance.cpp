#include "node/instance.h"

#include "base/log.h"
#include "base/stablehash.h"
#include "base/systemclock.h"
#include "base/systemmemory.h"
#include "batch/jobcoordinator.h"
#include "http/endpointclient.h"
#include "http/httplistener.h"
#include "metrics/metricsregistry.h"
#include "node/activerequests.h"
#include "node/adminhandler.h"
#include "node/authenticator.h"
#include "node/batchhandler.h"
#include "node/callerhandler.h"
#include "node/coordination.h"
#include "node/endpointdrivers.h"
#include "node/endpointownership.h"
#include "node/forwarder.h"
#include "node/heldslots.h"
#include "node/itemrunner.h"
#include "node/limitclient.h"
#include "node/onlinehandler.h"
#include "node/peerservice.h"
#include "node/policies.h"
#include "node/processcost.h"
#include "node/ratechanges.h"
#include "node/rolloutcoordinator.h"
#include "node/slotclient.h"
#include "node/slotservice.h"
#include "wire/body.h"
#include "wire/peerclient.h"
#include "wire/peerserver.h"
#include "wire/sleep.h"

#include <csignal>
#include <random>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds IsolationCheckInterval{250};
constexpr milliseconds HandOverTimeout{10000};
constexpr milliseconds RevokeTimeout{2000};
constexpr milliseconds NoticeTimeout{2000};
// How long a stopping instance lets the items that run come to their end.
constexpr milliseconds BatchGrace{2000};
// The time between two checkpoints of the whole fleet. It leaves a third of the 300 writes/s that
// the store is counted on for everything else.
constexpr milliseconds CheckpointSpacing{5};
// The parts of the memory for answers and for bodies of requests that are held whole.
constexpr std::size_t AnswerMemoryDivisor = 4;
constexpr std::size_t BodyMemoryDivisor = 8;

EndpointClientSettings clientSettings()
{
    EndpointClientSettings settings;
    settings.answerBudget =
            std::make_shared<BufferBudget>(systemMemoryBytes() / AnswerMemoryDivisor);
    return settings;
}

InstanceIdentity identityFrom(const Settings &settings)
{
    std::random_device random;
    const std::uint64_t high = random();
    return {settings.instance.name, (high << 32U) | random(), settings.instance.failureDomain,
            settings.listen.peersAdvertised.value_or(settings.listen.peers).toString()};
}

// The upper half tells owners and incarnations apart, the lower half counts.
std::uint64_t firstSlotIdOf(const InstanceIdentity &identity)
{
    const auto hash = stableHash(identity.name + "/" + std::to_string(identity.incarnation));
    return hash & 0x7fffffff00000000ULL;
}

std::shared_ptr<ObjectStore> createStore(const asio::any_io_executor &executor,
                                         const Settings &settings, const Clock &clock,
                                         MetricsRegistry &metrics)
{
    // The settings have been checked, so the address is valid.
    return valueOf(ObjectStore::create(executor, settings.store, clock, metrics));
}

} // namespace

struct Instance::Data
{
    explicit Data(const Settings &instanceSettings);

    Result<Done> listen();
    void start();
    void rulesChanged();
    void tableChanged();
    JobCoordinatorSettings jobSettings();
    std::optional<std::uint64_t> epochOfName(const std::string &name) const;
    std::optional<std::uint64_t> epochOfShard(std::uint32_t shard) const;
    void noticeJob(const JobId &id);
    asio::awaitable<void> sendNotice(SocketAddress address, std::string jobId);
    void revoke(const RevokeSlot &revoked);
    asio::awaitable<void> sendRevoke(SocketAddress address, std::uint64_t slotId);
    asio::awaitable<void> watchIsolation();
    asio::awaitable<void> waitForSignal();
    asio::awaitable<void> stopGracefully();

    const Settings settings;
    SystemClock clock;
    MetricsRegistry metrics;
    asio::io_context context;
    const InstanceIdentity identity;
    const std::shared_ptr<ObjectStore> store;
    PeerClient peers;
    HeldSlots held;
    ActiveRequests requests;
    EndpointSelector selector;
    SlotService slots;
    Coordination coordination;
    EndpointOwnership ownership;
    SlotClient slotClient;
    LimitClient limitClient;
    Authenticator authenticator;
    Forwarder forwarder;
    OnlineHandler online;
    ItemRunner items;
    JobCoordinator jobs;
    BatchHandler batches;
    CallerHandler callers;
    RolloutCoordinator rollouts;
    EndpointDrivers drivers;
    AdminHandler admin;
    PeerService peerService;

    std::mutex rulesMutex;
    RulesSnapshot appliedRules;

    std::unique_ptr<PeerServer> peerServer;
    std::shared_ptr<HttpListener> adminListener;
    std::shared_ptr<HttpListener> callerListener;
};

Instance::Data::Data(const Settings &instanceSettings)
    : settings(instanceSettings)
    , identity(identityFrom(settings))
    , store(createStore(context.get_executor(), settings, clock, metrics))
    , peers(context.get_executor(), metrics)
    , selector(selectionPolicy(settings.policy.selection), identity.incarnation)
    , slots(clock, metrics, firstSlotIdOf(identity),
            [this](const RevokeSlot &revoked) { revoke(revoked); })
    , coordination(context.get_executor(), clock, metrics, identity, settings.sharding.shards,
                   store, peers,
                   {[this] { rulesChanged(); }, [this] { tableChanged(); },
                    [this](const std::string &member) { slots.memberEnded(member); }})
    , ownership(context.get_executor(), settings.objectives.firstToken,
                queuePolicy(settings.policy), coordination, slots, held, peers,
                [this](const std::string &endpoint) { return drivers.isInService(endpoint); })
    , slotClient(
              context.get_executor(), clock, identity.name, slots, coordination.membership(), peers,
              selector, held,
              [this](const std::string &endpoint) {
                  const auto owner = coordination.holderOf(endpoint, FirstPlace);
                  return owner ? owner->instance : std::string();
              },
              [this] {
                  const auto table = coordination.table().table();
                  return table ? table->epoch : 0;
              })
    , limitClient(limitPolicy(settings.policy.limits), clock, metrics, coordination, peers)
    , authenticator(clock, metrics, coordination)
    , forwarder(clock, metrics, settings.deadlines, coordination, slotClient, held, selector,
                EndpointClient::create(context.get_executor(), clientSettings(), metrics))
    , online(clock, metrics, settings, coordination, authenticator, limitClient, forwarder,
             requests)
    , items(coordination, forwarder)
    , jobs(context.get_executor(), store, clock, metrics, jobSettings())
    , batches(settings, clock, store, authenticator, limitClient,
              [this](const JobId &id) { noticeJob(id); })
    , callers(online, batches)
    , rollouts(clock, metrics, settings.rollout, coordination,
               [this](const std::string &name) { return epochOfName(name); })
    , drivers(
              context.get_executor(), clock, metrics, coordination, slots, peers,
              EngineClient(EndpointClient::create(context.get_executor(), {}, metrics)), rollouts,
              [this](const std::string &name) { return epochOfName(name); },
              [this] { ownership.update(); })
    , admin(clock, metrics, coordination, slots, requests, rollouts)
    , peerService(
              clock, coordination, slots, held,
              [this](const std::string &) { jobs.onJobChanged(); }, rollouts)
{ }

Result<Done> Instance::Data::listen()
{
    const auto executor = context.get_executor();
    auto peerResult = PeerServer::create(
            executor, settings.listen.peers, metrics,
            [this](const wire::EnvelopeT &envelope, PeerRequestContext requestContext) {
                return peerService.handle(envelope, std::move(requestContext));
            });
    if (!isOk(peerResult))
        return errorOf(peerResult);
    peerServer = valueOf(std::move(peerResult));

    ListenerSettings adminSettings;
    adminSettings.name = "admin";
    auto adminResult = HttpListener::create(
            executor, settings.listen.admin, adminSettings, metrics,
            [this](ServerExchange &exchange) { return admin.handle(exchange); });
    if (!isOk(adminResult))
        return errorOf(adminResult);
    adminListener = valueOf(std::move(adminResult));

    ListenerSettings callerSettings;
    callerSettings.maxHeaderBytes = static_cast<std::uint32_t>(settings.limits.maxHeaderBytes);
    callerSettings.maxConnections = settings.limits.maxConnections;
    callerSettings.bodyBudget =
            std::make_shared<BufferBudget>(systemMemoryBytes() / BodyMemoryDivisor);
    auto callerResult = HttpListener::create(
            executor, settings.listen.callers, callerSettings, metrics,
            [this](ServerExchange &exchange) { return callers.handle(exchange); });
    if (!isOk(callerResult))
        return errorOf(callerResult);
    callerListener = valueOf(std::move(callerResult));
    return Done{};
}

void Instance::Data::start()
{
    const auto executor = context.get_executor();
    coordination.start();
    ownership.start();
    drivers.start();
    jobs.start();
    asio::co_spawn(executor, slotClient.run(), asio::detached);
    asio::co_spawn(executor, watchIsolation(), asio::detached);
    asio::co_spawn(executor, waitForSignal(), asio::detached);
}

void Instance::Data::rulesChanged()
{
    const std::scoped_lock lock(rulesMutex);
    const RulesSnapshot snapshot = coordination.rules().snapshot();
    if (snapshot.version <= appliedRules.version)
        return;
    const auto now = clock.now();
    if (snapshot.version == appliedRules.version + 1)
        applyRateChanges(coordination.limits(), *appliedRules.rules, *snapshot.rules, now);
    else
        coordination.limits().setRates(allLimits(*snapshot.rules), now);
    appliedRules = snapshot;
    metrics.counter("requests_cancelled_total", {{"reason", "key"}})
            .add(requests.cancelInvalid(*snapshot.rules));
    ownership.update();
}

void Instance::Data::tableChanged()
{
    ownership.update();
    // Jobs of a shard that moved here go on at once.
    jobs.onShardTableChanged();
}

JobCoordinatorSettings Instance::Data::jobSettings()
{
    JobCoordinatorSettings jobSettings;
    jobSettings.scheduler.owner = identity.name + "/" + std::to_string(identity.incarnation);
    jobSettings.shardCount = settings.sharding.shards;
    jobSettings.retention = settings.batch.retention;
    jobSettings.checkpointSpacing = [this] {
        const std::size_t members = coordination.membership().memberCount();
        return CheckpointSpacing * static_cast<std::int64_t>(members);
    };
    jobSettings.ownsShard = [this](std::uint32_t shard) { return epochOfShard(shard); };
    jobSettings.isIdempotent = [this](const std::string &path) { return items.isIdempotent(path); };
    jobSettings.runItem = [this](BatchItem item, std::string organisation,
                                 std::shared_ptr<ItemCancellation> cancellation) {
        return items.run(std::move(item), std::move(organisation), std::move(cancellation));
    };
    return jobSettings;
}

std::optional<std::uint64_t> Instance::Data::epochOfName(const std::string &name) const
{
    return epochOfShard(shardOf(name, settings.sharding.shards));
}

std::optional<std::uint64_t> Instance::Data::epochOfShard(std::uint32_t shard) const
{
    const auto table = coordination.table().table();
    if (!table || shard >= table->shards.size() || coordination.isIsolated(clock.now()))
        return std::nullopt;
    const ShardPlace &place = table->shards[shard][FirstPlace];
    const HolderId self{identity.name, identity.incarnation};
    if (place.holder != self)
        return std::nullopt;
    return place.assignedEpoch;
}

void Instance::Data::noticeJob(const JobId &id)
{
    const auto table = coordination.table().table();
    if (!table)
        return;
    const HolderId holder = table->shards[id.shard(table->shards.size())][FirstPlace].holder;
    if (holder.instance == identity.name) {
        jobs.onJobChanged();
        return;
    }
    const auto member = coordination.membership().find(holder.instance);
    if (member)
        asio::co_spawn(context, sendNotice(member->address, id.toString()), asio::detached);
}

asio::awaitable<void> Instance::Data::sendNotice(SocketAddress address, std::string jobId)
{
    wire::JobNoticeT notice;
    notice.jobId = std::move(jobId);
    wire::BodyUnion body = makeBody(std::move(notice));
    co_await peers.call(std::move(address), std::move(body), NoticeTimeout);
}

void Instance::Data::revoke(const RevokeSlot &revoked)
{
    if (revoked.instance == identity.name) {
        // The caller holds the lock of the endpoint, which the cancelled request will need.
        asio::post(context, [this, id = revoked.slotId] { held.cancel({id}); });
        return;
    }
    const auto member = coordination.membership().find(revoked.instance);
    if (member)
        asio::co_spawn(context, sendRevoke(member->address, revoked.slotId), asio::detached);
}

asio::awaitable<void> Instance::Data::sendRevoke(SocketAddress address, std::uint64_t slotId)
{
    wire::SlotRevokeT message;
    message.slotIds.push_back(slotId);
    wire::BodyUnion body = makeBody(std::move(message));
    co_await peers.call(std::move(address), std::move(body), RevokeTimeout);
}

asio::awaitable<void> Instance::Data::watchIsolation()
{
    bool wasIsolated = true;
    for (;;) {
        const bool isIsolated = coordination.isIsolated(clock.now());
        if (isIsolated) {
            metrics.counter("requests_cancelled_total", {{"reason", "isolated"}})
                    .add(requests.cancelAll());
        }
        if (isIsolated != wasIsolated)
            logWarning(isIsolated ? "isolated: keyed requests are refused" : "contact again");
        wasIsolated = isIsolated;
        recordProcessCost(metrics);
        co_await sleepFor(IsolationCheckInterval);
    }
}

asio::awaitable<void> Instance::Data::waitForSignal()
{
    asio::signal_set signals(co_await asio::this_coro::executor, SIGTERM, SIGINT);
    boost::system::error_code ignored;
    co_await signals.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    asio::co_spawn(context, stopGracefully(), asio::detached);
    co_await signals.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    context.stop();
}

asio::awaitable<void> Instance::Data::stopGracefully()
{
    logInfo("stopping", {{"instance", identity.name}});
    admin.setStopping();
    callerListener->closeAfterAnswers();
    co_await jobs.stop(BatchGrace);
    coordination.setLeaving();
    co_await sleepFor(settings.deadlines.readyDelay);
    callerListener->stop();
    const auto deadline = clock.now() + HandOverTimeout;
    while (coordination.holdsPlaces() && clock.now() < deadline)
        co_await sleepFor(milliseconds{50});
    const bool isDrained = co_await callerListener->waitStopped(settings.deadlines.drain);
    if (isDrained)
        co_await coordination.announceDrained();
    logInfo("stopped",
            {{"instance", identity.name},
             {"drained", isDrained ? "yes" : "no"},
             {"places", coordination.holdsPlaces() ? "kept" : "handed over"}});
    context.stop();
}

Result<std::unique_ptr<Instance>> Instance::create(const Settings &settings)
{
    auto data = std::make_unique<Data>(settings);
    const auto listening = data->listen();
    if (!isOk(listening))
        return errorOf(listening);
    return std::unique_ptr<Instance>(new Instance(std::move(data)));
}

Instance::Instance(std::unique_ptr<Data> data)
    : m_data(std::move(data))
{ }

Instance::~Instance() = default;

void Instance::run()
{
    logInfo("serving",
            {{"instance", m_data->identity.name},
             {"callers", m_data->settings.listen.callers.toString()},
             {"admin", m_data->settings.listen.admin.toString()},
             {"peers", m_data->settings.listen.peers.toString()}});
    m_data->start();
    std::vector<std::thread> threads;
    for (std::size_t i = 1; i < m_data->settings.threads.count; ++i)
        threads.emplace_back([this] { m_data->context.run(); });
    m_data->context.run();
    for (std::thread &thread : threads)
        thread.join();
}

} // namespace pistachiofall
