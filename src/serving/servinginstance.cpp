#include "serving/servinginstance.h"

#include "base/crashreport.h"
#include "base/decisionlog.h"
#include "base/systemclock.h"
#include "fleet/stopschedule.h"
#include "http/endpointclient.h"
#include "http/httplistener.h"
#include "serving/configfetcher.h"
#include "serving/fleetpeers.h"
#include "serving/guardedspace.h"
#include "serving/ingress.h"
#include "serving/jobformat.h"
#include "serving/jobowners.h"
#include "serving/jobrunner.h"
#include "serving/jobservice.h"
#include "serving/leavingnotices.h"
#include "serving/promptguard.h"
#include "serving/quotareports.h"
#include "serving/rolloutdirector.h"
#include "serving/speedreports.h"
#include "serving/storewatchers.h"
#include "serving/usagereports.h"
#include "settings/loadfleetsettings.h"
#include "wire/body.h"
#include "wire/peerserver.h"
#include "wire/sleep.h"

#include <algorithm>
#include <csignal>
#include <limits>
#include <random>
#include <set>
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
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// An io_context whose suspended coroutines can be destroyed before the objects that they use.
class ServingContext : public asio::io_context
{
public:
    using asio::io_context::io_context;
    void destroyCoroutines() { shutdown(); }
};

constexpr milliseconds TickInterval{50};
// The parts of the memory for answers and for bodies of requests that are held whole. A body is
// copied for the endpoint.
constexpr std::size_t AnswerMemoryDivisor = 4;
constexpr std::size_t BodyMemoryDivisor = 8;

EndpointClientSettings clientSettings(const FleetSettings &settings)
{
    EndpointClientSettings client;
    client.answerBudget =
            std::make_shared<BufferBudget>(settings.memoryBytes / AnswerMemoryDivisor);
    return client;
}

std::uint64_t randomIncarnation()
{
    std::random_device random;
    const std::uint64_t high = random();
    return (high << 32U) | random();
}

std::unique_ptr<wire::ServiceQueueT> encodeQueue(const std::string &service, std::size_t waiting)
{
    constexpr std::size_t MaxReported = std::numeric_limits<std::uint16_t>::max();
    auto queue = std::make_unique<wire::ServiceQueueT>();
    queue->service = service;
    queue->waiting = static_cast<std::uint16_t>(std::min(waiting, MaxReported));
    return queue;
}

FleetPeer peerFromSettings(const FleetSettings &settings)
{
    return {settings.name, settings.peers, settings.failureDomain, settings.callers.has_value()};
}

} // namespace

/// The components of an instance and the callbacks that connect them.
struct ServingInstance::Data
{
    Data(const FleetSettings &fleetSettings, std::string file,
         std::shared_ptr<const ServingProtocol> servingProtocol);
    ~Data();
    Data(const Data &) = delete;
    Data &operator=(const Data &) = delete;

    Result<Done> open(const SpaceFactory &spaceFactory);
    Result<Done> listen();
    void createServices();
    void start();
    ServingDependencies dependencies();

    void configChanged(const ServingConfig::Ptr &config);
    void membersChanged();
    void peerReported(const std::string &peer, const wire::FleetReportT &report);
    void peerLost(const std::string &peer, bool hasStopped);
    void fillReport(const std::string &peer, wire::FleetReportT &report);
    void createRollouts();
    bool isReady() const;
    milliseconds storeAge() const;

    asio::awaitable<wire::BodyUnion> handlePeer(const wire::EnvelopeT &envelope);
    asio::awaitable<void> handleReady(ServerExchange &exchange);
    asio::awaitable<void> handleMetrics(ServerExchange &exchange);
    asio::awaitable<void> tick();
    asio::awaitable<void> waitForSignals();
    asio::awaitable<void> stopGracefully();
    milliseconds timeUntil(SteadyTime time) const;
    void reloadSettings();
    void applyQuotaSettings();
    bool needsRestart(const FleetSettings &next) const;

    FleetSettings settings;
    const std::string settingsFile;
    const std::shared_ptr<const ServingProtocol> protocol;
    SystemClock clock;
    DecisionLog log;
    MetricsRegistry metrics;
    ServingContext context{1};
    std::shared_ptr<ObjectSpace> space;
    EndpointPool board;
    QuotaLimiter quotas;
    Scheduler scheduler;
    PromptGuard promptGuard;
    LeavingNotices leavingNotices;
    AnswerObservers answers;
    SpeedReports speedReports;
    FleetPeers peers;
    UsageReports usageReports;
    QuotaReports quotaReports;
    ConfigHolder config;
    const std::shared_ptr<EndpointClient> client;
    const std::shared_ptr<BufferBudget> bodyBudget;
    ConfigFetcher configFetcher;
    JobOwners jobOwners;
    std::unique_ptr<OnlineService> online;
    std::unique_ptr<JobStore> jobStore;
    std::unique_ptr<JobRunner> jobs;
    std::unique_ptr<JobService> jobService;
    std::unique_ptr<Ingress> ingress;
    std::unique_ptr<StoreWatchers> watchers;
    /// Null if the settings name no bounds for rollouts.
    std::unique_ptr<RolloutDirector> rollouts;

    std::unique_ptr<PeerServer> peerServer;
    std::shared_ptr<HttpListener> callerListener;
    std::shared_ptr<HttpListener> readyListener;
    std::shared_ptr<HttpListener> metricsListener;
    bool isStopping = false;
};

ServingInstance::Data::Data(const FleetSettings &fleetSettings, std::string file,
                            std::shared_ptr<const ServingProtocol> servingProtocol)
    : settings(fleetSettings)
    , settingsFile(std::move(file))
    , protocol(std::move(servingProtocol))
    , log(clock)
    , board(settings.name)
    , quotas(settings.quotaWindow)
    , scheduler(context.get_executor(), clock, board, metrics)
    , promptGuard(settings.name, settings.finishBound, clock, log, metrics)
    , leavingNotices(clock, log, metrics, *protocol, board)
    , speedReports(clock, board.speeds())
    , peers(context.get_executor(), clock, log, metrics, peerFromSettings(settings),
            randomIncarnation())
    , usageReports(clock, settings, peers, board)
    , quotaReports(clock, peers, quotas, settings.quotaWindow)
    , config(*protocol, log, [this](const ServingConfig::Ptr &newest) { configChanged(newest); })
    , client(EndpointClient::create(context.get_executor(), clientSettings(settings), metrics))
    , bodyBudget(std::make_shared<BufferBudget>(settings.memoryBytes / BodyMemoryDivisor))
    , configFetcher(context.get_executor(), peers, config)
    , jobOwners(context.get_executor(), clock, log, peers,
                {[this] { return storeAge(); }, [this] { return isStopping; }})
{ }

// Requests that are in flight release their slots to the scheduler when they are destroyed, so they
// must be destroyed before it.
ServingInstance::Data::~Data()
{
    forgetCrashLog();
    callerListener.reset();
    readyListener.reset();
    metricsListener.reset();
    peerServer.reset();
    context.destroyCoroutines();
}

ServingDependencies ServingInstance::Data::dependencies()
{
    return {clock,
            *protocol,
            log,
            metrics,
            board,
            quotas,
            scheduler,
            promptGuard,
            leavingNotices,
            answers,
            client,
            settings.failureDomain,
            settings.sharesRoomFairly};
}

Result<Done> ServingInstance::Data::open(const SpaceFactory &spaceFactory)
{
    auto created = spaceFactory(context.get_executor(), settings.store, clock, metrics);
    if (!isOk(created))
        return errorOf(created);
    space = std::make_shared<GuardedSpace>(valueOf(std::move(created)), clock, log, metrics);
    applyQuotaSettings();
    if (settings.leavesRoomForPeaks)
        scheduler.leaveRoomForPeaks();
    if (settings.learnsSpeeds)
        board.learnSpeeds();
    if (settings.sharesFailures)
        board.shareFailures();
    answers.add([this](const EndpointAnswer &answer) { board.recordAnswer(answer, clock.now()); });
    createServices();
    if (settings.rollouts)
        createRollouts();
    const StoreWatchers::Targets targets{config, board, scheduler, peers, rollouts.get()};
    watchers = std::make_unique<StoreWatchers>(context.get_executor(), clock, log, metrics, space,
                                               *protocol, settings, targets);
    return listen();
}

// Creates the services and connects them by their callbacks.
void ServingInstance::Data::createServices()
{
    online = std::make_unique<OnlineService>(dependencies());
    jobStore = std::make_unique<JobStore>(clock, log, space, settings.maxObjectBytes);
    const std::string owner = settings.name + '/' + std::to_string(peers.incarnation());
    JobRunner::Callbacks runnerCallbacks;
    runnerCallbacks.config = [this] { return config.config(); };
    runnerCallbacks.isOwnerAlive = [this](const std::string &name) {
        return jobOwners.isOwnerAlive(name);
    };
    runnerCallbacks.isReported = [this](const JobRecord &record) {
        return jobOwners.isReported(record);
    };
    runnerCallbacks.listersBefore = [this] { return jobOwners.adoptersBefore(); };
    runnerCallbacks.peerListingAge = [this] { return jobOwners.peerListingAge(); };
    runnerCallbacks.handOver = [this](const JobRecord &record) {
        return jobOwners.handOver(record);
    };
    jobs = std::make_unique<JobRunner>(context.get_executor(), dependencies(), *jobStore, owner,
                                       settings.cancelBound, std::move(runnerCallbacks));
    JobService::OwnerReader ownerReader;
    ownerReader.ownerOf = [this](const std::string &jobId) { return jobOwners.ownerOf(jobId); };
    ownerReader.read = [this](std::string ownerName, std::string jobId) {
        return jobOwners.fetchRecord(std::move(ownerName), std::move(jobId));
    };
    jobService = std::make_unique<JobService>(
            dependencies(), *jobStore, *jobs, *online,
            [this](const std::string &jobId) { jobOwners.notifyJobEnded(jobId); },
            std::move(ownerReader));
    ingress = std::make_unique<Ingress>(dependencies(), config, *online, *jobService);

    promptGuard.setOnChange([this] { peers.noteUsageChange(); });
    leavingNotices.setOnChange([this] {
        peers.noteUsageChange();
        scheduler.scheduleUpdate();
    });

    Scheduler::Callbacks schedulerCallbacks;
    schedulerCallbacks.capacityChanged = [this] { jobs->startPendingItems(); };
    schedulerCallbacks.preemptBatch = [this](const std::string &endpoint, int count) {
        return jobs->preempt(endpoint, count);
    };
    schedulerCallbacks.usageChanged = [this] { peers.noteUsageChange(); };
    scheduler.setCallbacks(std::move(schedulerCallbacks));

    FleetPeers::Callbacks peerCallbacks;
    peerCallbacks.fillReport = [this](const std::string &peer, wire::FleetReportT &report) {
        fillReport(peer, report);
    };
    peerCallbacks.reported = [this](const std::string &peer, const wire::FleetReportT &report,
                                    bool hasRestarted) {
        if (hasRestarted)
            jobs->adopter().expediteScan();
        peerReported(peer, report);
    };
    peerCallbacks.lost = [this](const std::string &peer, bool hasStopped) {
        peerLost(peer, hasStopped);
    };
    peerCallbacks.membersChanged = [this] { membersChanged(); };
    peerCallbacks.configVersionSeen = [this](const std::string &peer, std::uint64_t version) {
        configFetcher.noteVersion(peer, version);
    };
    peers.setCallbacks(std::move(peerCallbacks));
}

// An order for a rollout and the entries of the version's endpoints come by different watches.
void ServingInstance::Data::createRollouts()
{
    board.enableRollouts(settings.changeBound);
    RolloutDirector::Callbacks callbacks;
    callbacks.storeAge = [this] { return storeAge(); };
    callbacks.changed = [this] { scheduler.scheduleUpdate(); };
    rollouts = std::make_unique<RolloutDirector>(context.get_executor(), clock, log, metrics,
                                                 *protocol, space, board, peers, *settings.rollouts,
                                                 std::move(callbacks));
    answers.add([this](const EndpointAnswer &answer) { rollouts->recordAnswer(answer); });
}

Result<Done> ServingInstance::Data::listen()
{
    const auto executor = context.get_executor();
    auto peerResult =
            PeerServer::create(executor, settings.peers, metrics,
                               [this](const wire::EnvelopeT &envelope, PeerRequestContext) {
                                   return handlePeer(envelope);
                               });
    if (!isOk(peerResult))
        return errorOf(peerResult);
    peerServer = valueOf(std::move(peerResult));
    const auto open = [&](const std::optional<SocketAddress> &address, const char *name,
                          RequestHandler handler,
                          std::shared_ptr<HttpListener> &listener) -> Result<Done> {
        if (!address)
            return Done{};
        ListenerSettings listenerSettings;
        listenerSettings.name = name;
        listenerSettings.bodyBudget = bodyBudget;
        auto result = HttpListener::create(executor, *address, listenerSettings, metrics,
                                           std::move(handler));
        if (!isOk(result))
            return errorOf(result);
        listener = valueOf(std::move(result));
        return Done{};
    };
    Result<Done> opened = open(
            settings.callers, "callers",
            [this](ServerExchange &exchange) { return ingress->handle(exchange); }, callerListener);
    if (isOk(opened))
        opened = open(
                settings.ready, "ready",
                [this](ServerExchange &exchange) { return handleReady(exchange); }, readyListener);
    if (isOk(opened))
        opened = open(
                settings.metrics, "metrics",
                [this](ServerExchange &exchange) { return handleMetrics(exchange); },
                metricsListener);
    return opened;
}

void ServingInstance::Data::start()
{
    watchers->start();
    peers.start(settings.seeds);
    // Callers may connect to any instance, so a job need not be run by the instance that they read
    // from. An instance without callers adopts jobs only if adopters() finds no other instance.
    jobs->start();
    asio::co_spawn(context, tick(), asio::detached);
    asio::co_spawn(context, waitForSignals(), asio::detached);
}

void ServingInstance::Data::configChanged(const ServingConfig::Ptr &newest)
{
    board.setConfig(newest);
    peers.noteUsageChange();
    scheduler.scheduleUpdate();
}

void ServingInstance::Data::membersChanged()
{
    board.setInstances(peers.callerInstances());
    usageReports.membersChanged();
    const auto callers = peers.callerInstances();
    std::set<std::string> others(callers.begin(), callers.end());
    others.erase(settings.name);
    quotas.setPeers(others, clock.bootNow());
}

void ServingInstance::Data::peerReported(const std::string &peer, const wire::FleetReportT &report)
{
    watchers->handleReport(peer, report);
    promptGuard.handleReport(peer, report);
    leavingNotices.handleReport(peer, report);
    if (rollouts)
        rollouts->handleReport(peer, report);
    speedReports.handleReport(peer, report);
    usageReports.handleReport(peer, report);
    quotaReports.handleReport(peer, report);
    jobOwners.recordPeerJobs(peer, report.incarnation, report.ownedJobs);
    for (const std::uint64_t ended : report.endedJobs) {
        if (jobOwners.recordEnded(ended))
            jobs->jobEndedByHash(ended);
    }
    if (report.jobsListedAgeMs > 0)
        jobOwners.recordPeerListing(milliseconds{report.jobsListedAgeMs - 1});
    std::map<std::string, std::uint32_t> waitingItems;
    for (const auto &each : report.itemQueues)
        waitingItems[each->service] = each->waiting;
    board.setPeerWaitingItems(peer, waitingItems,
                              report.sender->failureDomain == settings.failureDomain);
    std::map<std::string, int> queues;
    for (const auto &each : report.queues)
        queues[each->service] = each->waiting;
    scheduler.setPeerQueues(peer, std::move(queues));
    if (report.leaving)
        jobs->adopter().expediteScan();
    scheduler.scheduleUpdate();
}

void ServingInstance::Data::peerLost(const std::string &peer, bool hasStopped)
{
    if (hasStopped)
        quotas.peerStopped(peer, clock.bootNow());
    board.removePeer(peer);
    jobOwners.removePeer(peer);
    if (rollouts)
        rollouts->removePeer(peer);
    scheduler.removePeer(peer);
    jobs->adopter().expediteScan();
    scheduler.scheduleUpdate();
}

void ServingInstance::Data::fillReport(const std::string &peer, wire::FleetReportT &report)
{
    report.configVersion = config.version();
    for (const auto &[service, waiting] : jobs->waitingItems()) {
        report.waitingItems += static_cast<std::uint32_t>(waiting);
        report.itemQueues.push_back(encodeQueue(service, waiting));
    }
    for (const std::string &id : jobs->jobIds(JobOwners::MaxReportedJobs))
        report.ownedJobs.push_back(JobOwners::jobHash(id));
    report.endedJobs = jobOwners.recentlyEnded();
    if (const auto age = jobs->adopter().listingAge())
        report.jobsListedAgeMs = static_cast<std::uint32_t>(age->count()) + 1;
    report.storeAgeMs = static_cast<std::uint32_t>(storeAge().count());
    watchers->fillReport(report);
    promptGuard.fillReport(report);
    leavingNotices.fillReport(report);
    if (rollouts)
        rollouts->fillReport(peer, report);
    if (settings.learnsSpeeds)
        speedReports.fillReport(peer, peers.memberNames().size(), report);
    usageReports.fillReport(peer, report);
    quotaReports.fillReport(peer, report);
    for (const auto &[service, waiting] : scheduler.queueCounts())
        report.queues.push_back(encodeQueue(service, static_cast<std::size_t>(waiting)));
}

milliseconds ServingInstance::Data::storeAge() const
{
    const auto newest = std::max(jobStore->lastResponse(), watchers->lastContact());
    return std::max(milliseconds{0}, duration_cast<milliseconds>(clock.now() - newest));
}

bool ServingInstance::Data::isReady() const
{
    return !isStopping && config.config() != nullptr && !board.ids().empty();
}

asio::awaitable<wire::BodyUnion> ServingInstance::Data::handlePeer(const wire::EnvelopeT &envelope)
{
    wire::BodyUnion reply;
    if (const auto *report = envelope.body.AsFleetReport()) {
        wire::FleetReportReplyT answer = peers.handleReport(*report);
        answer.configVersion = config.version();
        reply.Set(std::move(answer));
    } else if (const auto *fetch = envelope.body.AsConfigFetch()) {
        wire::ConfigDataT data;
        data.version = config.version();
        if (fetch->knownVersion < data.version) {
            const std::string text = config.text();
            data.payload.assign(text.begin(), text.end());
        }
        reply.Set(std::move(data));
    } else if (const auto *changes = envelope.body.AsChangesFetch()) {
        reply.Set(watchers->passChanges(*changes));
    } else if (const auto *ended = envelope.body.AsJobEnded()) {
        if (jobOwners.recordEnded(JobOwners::jobHash(ended->jobId)))
            peers.noteUsageChange();
        jobs->jobEnded(ended->jobId);
        reply.Set(wire::PongT{});
    } else if (const auto *fetchState = envelope.body.AsJobStateFetch()) {
        std::string jobId = fetchState->jobId;
        const auto record = co_await jobs->currentRecord(std::move(jobId));
        wire::JobStateDataT data;
        if (record) {
            const std::string text = encodeJobText(*record);
            data.payload.assign(text.begin(), text.end());
        }
        reply.Set(std::move(data));
    } else if (const auto *notice = envelope.body.AsJobNotice()) {
        jobs->adopter().requestLookUp(notice->jobId);
        reply.Set(wire::PongT{});
    }
    co_return reply;
}

asio::awaitable<void> ServingInstance::Data::handleReady(ServerExchange &exchange)
{
    const bool isKnown = protocol->isReadinessProbe(exchange.path());
    const unsigned status = !isKnown ? 404 : isReady() ? 200 : 503;
    HttpHeaders headers;
    std::string body;
    co_await exchange.respond(status, std::move(headers), std::move(body));
}

asio::awaitable<void> ServingInstance::Data::handleMetrics(ServerExchange &exchange)
{
    metrics.gauge("config_version").set(static_cast<std::int64_t>(config.version()));
    metrics.gauge("store_age_ms").set(storeAge().count());
    watchers->updateMetrics(metrics);
    promptGuard.updateMetrics();
    metrics.gauge("peers_alive").set(static_cast<std::int64_t>(peers.aliveNames().size()));
    jobs->updateMetrics();
    HttpHeaders headers{{"Content-Type", "text/plain; version=0.0.4"}};
    std::string body = metrics.renderText();
    co_await exchange.respond(200, std::move(headers), std::move(body));
}

asio::awaitable<void> ServingInstance::Data::tick()
{
    bool wasReady = false;
    for (;;) {
        co_await sleepFor(TickInterval);
        watchers->tick();
        promptGuard.tick();
        if (rollouts)
            rollouts->tick();
        board.removeExpired(clock.now());
        usageReports.tick();
        quotaReports.tick();
        scheduler.scheduleUpdate();
        log.flush();
        if (isReady() != wasReady) {
            wasReady = !wasReady;
            log.info(wasReady ? "ready" : "not_ready",
                     {{"config", config.version()},
                      {"endpoints", std::uint64_t{board.ids().size()}},
                      {"stopping", isStopping ? "yes" : "no"}});
        }
    }
}

asio::awaitable<void> ServingInstance::Data::waitForSignals()
{
    asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    for (;;) {
        boost::system::error_code error;
        const int number =
                co_await signals.async_wait(asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        if (number == SIGHUP) {
            reloadSettings();
            continue;
        }
        log.info("stopping", {{"signal", number}});
        if (isStopping) {
            context.stop();
            co_return;
        }
        isStopping = true;
        asio::co_spawn(context, stopGracefully(), asio::detached);
    }
}

milliseconds ServingInstance::Data::timeUntil(SteadyTime time) const
{
    return std::max(milliseconds{0}, std::chrono::ceil<milliseconds>(time - clock.now()));
}

void ServingInstance::Data::reloadSettings()
{
    const auto loaded = loadFleetSettings(settingsFile);
    if (!isOk(loaded)) {
        log.warning("reload_failed", {{"reason", errorOf(loaded).message}});
        return;
    }
    const FleetSettings &next = valueOf(loaded);
    settings.stopGrace = next.stopGrace;
    settings.quotaWindow = next.quotaWindow;
    settings.quotaOver = next.quotaOver;
    settings.quotaSlack = next.quotaSlack;
    applyQuotaSettings();
    log.info("reloaded",
             {{"file", settingsFile},
              {"stop_grace_ms", std::int64_t{settings.stopGrace.count()}},
              {"quota_window_ms", std::int64_t{settings.quotaWindow.count()}},
              {"needs_restart", needsRestart(next) ? "yes" : "no"}});
}

void ServingInstance::Data::applyQuotaSettings()
{
    quotas.setWindow(settings.quotaWindow);
    quotaReports.setWindow(settings.quotaWindow);
    quotas.setTolerance({settings.quotaOver, settings.quotaSlack});
}

// Whether settings differ that hold for the lifetime of the process.
bool ServingInstance::Data::needsRestart(const FleetSettings &next) const
{
    const auto rolloutBounds = [](const FleetSettings &each) {
        const RolloutBounds bounds = each.rollouts.value_or(RolloutBounds{0, milliseconds{0}});
        return std::pair(bounds.maxExposure, bounds.rollbackTime);
    };
    return next.changeBound != settings.changeBound || next.cancelBound != settings.cancelBound
            || next.finishBound != settings.finishBound
            || rolloutBounds(next) != rolloutBounds(settings);
}

asio::awaitable<void> ServingInstance::Data::stopGracefully()
{
    const StopSchedule schedule(clock.now(), settings.stopGrace);
    jobs->stop();
    peers.setLeaving();
    if (callerListener) {
        ingress->stop(schedule);
        callerListener->closeAfterAnswers();
        co_await sleepFor(timeUntil(schedule.acceptsUntil()));
        callerListener->stop();
        bool isDrained = co_await callerListener->waitStopped(timeUntil(schedule.answersUntil()));
        if (!isDrained) {
            online->endAll();
            isDrained = co_await callerListener->waitStopped(timeUntil(schedule.end()));
        }
        log.info("callers_done", {{"drained", isDrained ? "yes" : "no"}});
    }
    log.info("stopped", {});
    log.flush();
    context.stop();
}

Result<std::unique_ptr<ServingInstance>>
ServingInstance::create(const FleetSettings &settings, std::string settingsFile,
                        std::shared_ptr<const ServingProtocol> protocol,
                        const SpaceFactory &spaceFactory)
{
    auto data = std::make_unique<Data>(settings, std::move(settingsFile), std::move(protocol));
    const auto opened = data->open(spaceFactory);
    if (!isOk(opened))
        return errorOf(opened);
    return std::unique_ptr<ServingInstance>(new ServingInstance(std::move(data)));
}

ServingInstance::ServingInstance(std::unique_ptr<Data> data)
    : m_data(std::move(data))
{ }

ServingInstance::~ServingInstance() = default;

void ServingInstance::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    installCrashReport(m_data->log);
    m_data->log.info(
            "started",
            {{"instance", m_data->settings.name},
             {"incarnation", m_data->peers.incarnation()},
             {"domain", m_data->settings.failureDomain},
             {"peers", m_data->settings.peers.toString()},
             {"callers",
              m_data->settings.callers ? m_data->settings.callers->toString() : std::string()}});
    m_data->log.flush();
    m_data->start();
    m_data->context.run();
}

} // namespace pistachiofall
