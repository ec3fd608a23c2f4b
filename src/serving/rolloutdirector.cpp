#include "serving/rolloutdirector.h"

#include "base/stablehash.h"
#include "fleet/versionjudge.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <utility>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// Two of them may be lost and the evidence is still known.
constexpr std::size_t JudgeCount = 3;
// An instance whose last answer from the store is older does not lead.
constexpr milliseconds MaxLeaderStoreAge{2000};
constexpr milliseconds WriteRetryDelay{300};
// Peers hear of the end of a rollout for this time.
constexpr milliseconds ReportedAfterEnd{10000};
// The reports of all peers on what runs at an endpoint are younger.
constexpr milliseconds IdleBeforeCompletion{1200};
constexpr double SharesPerUnit = 10000;

wire::AnswerCounts encode(const AnswerTally &tally)
{
    return {tally.answers, tally.failures, tally.slow};
}

AnswerTally decode(const wire::AnswerCounts &counts)
{
    return {counts.answers(), counts.failures(), counts.slow()};
}

RolloutTallies decodeTallies(const wire::RolloutViewT &view)
{
    RolloutTallies tallies;
    for (const wire::RouteAnswers &route : view.routes)
        tallies.routes[route.route()] = {decode(route.target()), decode(route.others())};
    for (const wire::EndpointAnswers &endpoint : view.endpoints)
        tallies.targetEndpoints[endpoint.endpoint()] = decode(endpoint.answers());
    return tallies;
}

std::int64_t unixMilliseconds(std::chrono::system_clock::time_point time)
{
    return duration_cast<milliseconds>(time.time_since_epoch()).count();
}

std::uint16_t wireShare(double share)
{
    return static_cast<std::uint16_t>(std::lround(share * SharesPerUnit));
}

AnswerTally since(const AnswerTally &now, const AnswerTally &then)
{
    return {now.answers - std::min(now.answers, then.answers),
            now.failures - std::min(now.failures, then.failures),
            now.slow - std::min(now.slow, then.slow)};
}

/// The answers that have come since an earlier sum.
RolloutTallies since(const RolloutTallies &now, const RolloutTallies &then)
{
    RolloutTallies difference;
    for (const auto &[name, route] : now.routes) {
        const auto found = then.routes.find(name);
        const RolloutTallies::Route earlier =
                found == then.routes.end() ? RolloutTallies::Route{} : found->second;
        difference.routes[name] = {since(route.target, earlier.target),
                                   since(route.others, earlier.others)};
    }
    for (const auto &[endpoint, tally] : now.targetEndpoints) {
        const auto found = then.targetEndpoints.find(endpoint);
        difference.targetEndpoints[endpoint] =
                since(tally, found == then.targetEndpoints.end() ? AnswerTally{} : found->second);
    }
    return difference;
}

const char *toString(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Running:
        return "running";
    case RolloutPhase::Complete:
        return "complete";
    case RolloutPhase::RolledBack:
        return "rolled_back";
    }
    return "unknown";
}

} // namespace

struct RolloutDirector::Rollout
{
    /// The state by which a peer sends.
    struct PeerView
    {
        std::int64_t startedAtMs = 0;
        RolloutPhase phase = RolloutPhase::Running;
        std::uint16_t share = 0;
    };

    RolloutOrder order;
    /// The newest known status; without a start until an instance has taken the order up.
    RolloutStatus status;
    std::uint64_t revision = 0;
    /// The object as last read or written, for the next write.
    SpaceObject object;

    SteadyTime startedAt{};
    SteadyTime stageSince{};
    SteadyTime othersIdleSince{};
    RolloutTallies local;
    RolloutTallies atStageStart;
    RolloutEvidence evidence;
    AnswerPace pace;
    bool hasNews = false;
    bool isBad = false;
    std::map<std::string, PeerView> peerViews;

    bool isWriting = false;
    SteadyTime nextWrite{};

    bool isTakenUp() const { return status.startedAt != std::chrono::system_clock::time_point{}; }
    bool isRunning() const { return isTakenUp() && status.phase == RolloutPhase::Running; }
};

RolloutDirector::RolloutDirector(const asio::any_io_executor &executor, const Clock &clock,
                                 DecisionLog &log, MetricsRegistry &metrics,
                                 const ServingProtocol &protocol,
                                 std::shared_ptr<ObjectSpace> space, EndpointPool &endpoints,
                                 FleetPeers &peers, const RolloutBounds &bounds,
                                 Callbacks callbacks)
    : m_executor(executor)
    , m_clock(clock)
    , m_log(log)
    , m_metrics(metrics)
    , m_protocol(protocol)
    , m_space(std::move(space))
    , m_endpoints(endpoints)
    , m_peers(peers)
    , m_bounds(bounds)
    , m_callbacks(std::move(callbacks))
{ }

RolloutDirector::~RolloutDirector() = default;

KindWatcher::Callbacks RolloutDirector::watcherCallbacks()
{
    KindWatcher::Callbacks callbacks;
    callbacks.listed = [this](const std::vector<SpaceObject> &objects) {
        std::set<std::string> listed;
        for (const SpaceObject &object : objects) {
            listed.insert(object.name);
            applyObject(object);
        }
        std::vector<std::string> gone;
        for (const auto &[service, rollout] : m_rollouts) {
            if (!listed.contains(service))
                gone.push_back(service);
        }
        for (const std::string &service : gone)
            removeOrder(service);
        m_areOrdersKnown = true;
        divideRequests();
    };
    callbacks.changed = [this](const SpaceEvent &event) {
        if (event.isRemoved)
            removeOrder(event.object.name);
        else
            applyObject(event.object);
        divideRequests();
    };
    return callbacks;
}

// An order that can not be read changes nothing.
void RolloutDirector::applyObject(const SpaceObject &object)
{
    const auto decoded = m_protocol.decodeRollout(object);
    if (!isOk(decoded)) {
        m_log.warning("rollout_unreadable",
                      {{"service", object.name}, {"reason", errorOf(decoded).message}});
        return;
    }
    const RolloutOrder &order = valueOf(decoded);
    auto &rollout = m_rollouts[order.service];
    if (rollout && object.revision < rollout->revision)
        return;
    const auto status = m_protocol.decodeRolloutStatus(object.status);
    const bool isStatusOfOrder = status && status->version == order.version;
    if (!rollout || rollout->order.version != order.version
        || (rollout->isTakenUp() && !isStatusOfOrder)) {
        rollout = std::make_unique<Rollout>();
        m_withdrawn.erase(order.service);
        m_log.info("rollout_ordered",
                   {{"service", order.service},
                    {"version", order.version},
                    {"duration_ms", std::int64_t{order.duration.count()}},
                    {"revision", object.revision}});
    }
    rollout->order = order;
    rollout->object = object;
    if (isStatusOfOrder)
        adoptStatus(*rollout, *status, object.revision, "store");
    rollout->revision = std::max(rollout->revision, object.revision);
}

void RolloutDirector::removeOrder(const std::string &service)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return;
    const Rollout &rollout = *found->second;
    m_log.info("rollout_withdrawn",
               {{"service", service},
                {"version", rollout.order.version},
                {"phase", toString(rollout.status.phase)}});
    if (rollout.status.phase != RolloutPhase::Complete)
        m_withdrawn[service] = {rollout.order.version, RolloutPhase::RolledBack, 0};
    m_rollouts.erase(found);
}

void RolloutDirector::adoptStatus(Rollout &rollout, const RolloutStatus &status,
                                  std::uint64_t revision, std::string_view source)
{
    if (rollout.isTakenUp() && revision <= rollout.revision)
        return;
    const auto now = m_clock.now();
    if (rollout.status.startedAt != status.startedAt) {
        rollout.local = {};
        rollout.evidence = {};
        rollout.pace = {};
        rollout.isBad = false;
        const auto age = duration_cast<milliseconds>(m_clock.wallNow() - status.startedAt);
        rollout.startedAt = now - std::max(milliseconds{0}, age);
    }
    const bool isNewStage = rollout.status.share != status.share
            || rollout.status.phase != status.phase || rollout.status.startedAt != status.startedAt;
    rollout.status = status;
    rollout.revision = std::max(rollout.revision, revision);
    if (!isNewStage)
        return;
    rollout.stageSince = now;
    rollout.othersIdleSince = {};
    rollout.atStageStart = rollout.evidence.sum();
    const RolloutTallies::Route total = rollout.atStageStart.total();
    m_log.info("rollout_step",
               {{"service", rollout.order.service},
                {"version", rollout.order.version},
                {"phase", toString(status.phase)},
                {"share", std::to_string(status.share)},
                {"reason", status.reason},
                {"source", source},
                {"elapsed_ms",
                 std::int64_t{duration_cast<milliseconds>(now - rollout.startedAt).count()}},
                {"answers", std::uint64_t{total.target.answers}},
                {"bad", std::uint64_t{total.target.bad()}},
                {"revision", revision}});
    updateMetrics(rollout);
}

void RolloutDirector::recordAnswer(const EndpointAnswer &answer)
{
    const auto found = m_rollouts.find(answer.endpoint.service);
    if (found == m_rollouts.end() || !found->second->isRunning())
        return;
    Rollout &rollout = *found->second;
    const bool isTarget = answer.endpoint.version == rollout.order.version;
    RolloutTallies::Route &route = rollout.local.routes[answer.route];
    const bool isSlow = !answer.isFailure && rollout.pace.isSlow(answer.route, answer.timePerEvent);
    if (!isTarget && !answer.isFailure)
        rollout.pace.recordOther(answer.route, answer.timePerEvent);
    const AnswerTally tally{1, answer.isFailure ? 1U : 0U, isSlow ? 1U : 0U};
    (isTarget ? route.target : route.others) += tally;
    if (isTarget)
        rollout.local.targetEndpoints[stableHash(answer.endpoint.id)] += tally;
    rollout.hasNews = true;
    const char *outcome = answer.isFailure ? "failure" : isSlow ? "slow" : "good";
    m_metrics
            .counter("rollout_answers_total",
                     {{"service", rollout.order.service},
                      {"version", isTarget ? "target" : "others"},
                      {"outcome", outcome}})
            .add();
}

void RolloutDirector::tick()
{
    for (const auto &[service, rollout] : m_rollouts) {
        if (rollout->isRunning() && std::exchange(rollout->hasNews, false))
            judge(*rollout);
        if (isLeader(service))
            lead(*rollout);
    }
    if (m_areOrdersKnown)
        divideRequests();
}

// Both all answers and those since the last step count: a version may turn bad late.
void RolloutDirector::judge(Rollout &rollout)
{
    rollout.evidence.set(m_peers.self().name, m_peers.incarnation(), rollout.local);
    if (rollout.isBad)
        return;
    const RolloutTallies all = rollout.evidence.sum();
    if (isClearlyWorse(all) || isClearlyWorse(since(all, rollout.atStageStart)))
        condemn(rollout, "counts");
}

void RolloutDirector::condemn(Rollout &rollout, std::string_view source)
{
    if (std::exchange(rollout.isBad, true))
        return;
    const RolloutTallies::Route total = rollout.evidence.sum().total();
    m_log.warning("rollout_condemned",
                  {{"service", rollout.order.service},
                   {"version", rollout.order.version},
                   {"source", source},
                   {"answers", std::uint64_t{total.target.answers}},
                   {"failures", std::uint64_t{total.target.failures}},
                   {"slow", std::uint64_t{total.target.slow}},
                   {"answers_of_others", std::uint64_t{total.others.answers}},
                   {"bad_of_others", std::uint64_t{total.others.bad()}}});
    m_metrics.counter("rollouts_condemned_total", {{"service", rollout.order.service}}).add();
    m_peers.noteUsageChange();
}

std::vector<std::string> RolloutDirector::rankedInstances(const std::string &service) const
{
    std::vector<std::string> names = m_peers.aliveNames();
    std::sort(names.begin(), names.end(),
              [&service](const std::string &left, const std::string &right) {
                  return rendezvousRank(service, left) < rendezvousRank(service, right);
              });
    return names;
}

bool RolloutDirector::isJudge(const std::string &service, const std::string &instance) const
{
    const auto names = rankedInstances(service);
    const auto end =
            names.begin() + static_cast<std::ptrdiff_t>(std::min(JudgeCount, names.size()));
    return std::find(names.begin(), end, instance) != end;
}

bool RolloutDirector::isLeader(const std::string &service) const
{
    const std::string &self = m_peers.self().name;
    if (m_peers.isLeaving() || m_callbacks.storeAge() > MaxLeaderStoreAge)
        return false;
    for (const std::string &name : rankedInstances(service)) {
        if (name == self)
            return true;
        if (m_peers.storeAgeOf(name) <= MaxLeaderStoreAge)
            return false;
    }
    return false;
}

void RolloutDirector::lead(Rollout &rollout)
{
    if (rollout.isWriting || m_clock.now() < rollout.nextWrite || rollout.object.name.empty())
        return;
    if (!rollout.isTakenUp()) {
        RolloutStatus status;
        status.version = rollout.order.version;
        status.startedAt = m_clock.wallNow();
        status.reason = "taken up";
        startWrite(rollout, std::move(status));
        return;
    }
    if (rollout.isRunning())
        takeStep(rollout, nextRolloutStep(situationOf(rollout), m_bounds));
}

RolloutSituation RolloutDirector::situationOf(Rollout &rollout)
{
    const auto now = m_clock.now();
    const RolloutOrder &order = rollout.order;
    RolloutSituation situation;
    situation.elapsed = duration_cast<milliseconds>(now - rollout.startedAt);
    situation.inStage = duration_cast<milliseconds>(now - rollout.stageSince);
    situation.duration = order.duration;
    situation.share = rollout.status.share;
    situation.isBad = rollout.isBad;
    const VersionCounts targets = m_endpoints.countVersion(order.service, order.version, now);
    situation.targetEndpoints = targets.endpoints;
    situation.warmTargetEndpoints = targets.warm;
    const RolloutTallies stage = since(rollout.evidence.sum(), rollout.atStageStart);
    situation.answersInStage = stage.total().target.answers;
    situation.isInForce = isInForce(rollout);
    if (m_endpoints.requestsAtOtherVersions(order.service, order.version) > 0)
        rollout.othersIdleSince = {};
    else if (rollout.othersIdleSince == SteadyTime{})
        rollout.othersIdleSince = now;
    situation.areOthersIdle = rollout.othersIdleSince != SteadyTime{}
            && now - rollout.othersIdleSince >= IdleBeforeCompletion;
    return situation;
}

// Whether all live instances that send requests have reported that they send by the status.
bool RolloutDirector::isInForce(const Rollout &rollout) const
{
    const auto callers = m_peers.callerInstances();
    return std::all_of(callers.begin(), callers.end(), [&](const std::string &name) {
        if (name == m_peers.self().name || !m_peers.isAlive(name))
            return true;
        const auto view = rollout.peerViews.find(name);
        return view != rollout.peerViews.end()
                && view->second.startedAtMs == unixMilliseconds(rollout.status.startedAt)
                && view->second.phase == rollout.status.phase
                && view->second.share == wireShare(rollout.status.share);
    });
}

void RolloutDirector::takeStep(Rollout &rollout, const RolloutStep &step)
{
    RolloutStatus next = rollout.status;
    if (const auto *share = std::get_if<SetShare>(&step)) {
        next.share = share->share;
        next.reason = "sound so far";
    } else if (std::holds_alternative<CompleteRollout>(step)) {
        next.phase = RolloutPhase::Complete;
        next.reason = "all requests go to the version";
    } else if (const auto *rollBack = std::get_if<RollBack>(&step)) {
        next.phase = RolloutPhase::RolledBack;
        next.share = 0;
        next.reason = rollBack->reason;
    } else {
        return;
    }
    startWrite(rollout, std::move(next));
}

void RolloutDirector::startWrite(Rollout &rollout, RolloutStatus status)
{
    rollout.isWriting = true;
    SpaceObject object = rollout.object;
    object.revision = rollout.revision;
    object.status = m_protocol.encodeRolloutStatus(status);
    asio::co_spawn(m_executor, write(rollout.order.service, std::move(object)), asio::detached);
}

// The condition of the write keeps a leader with an old view from taking a step back.
asio::awaitable<void> RolloutDirector::write(std::string service, SpaceObject object)
{
    const std::string kind = m_protocol.objectKinds().rolloutKind;
    SpaceObject sent = object;
    auto written = co_await m_space->replaceStatus(kind, std::move(sent));
    if (!isOk(written)) {
        m_log.warning("rollout_status_not_written",
                      {{"service", service},
                       {"reason", errorOf(written).message},
                       {"revision", object.revision}});
        std::string name = service;
        written = co_await m_space->get(kind, std::move(name));
    }
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        co_return;
    found->second->isWriting = false;
    if (!isOk(written))
        found->second->nextWrite = m_clock.now() + WriteRetryDelay;
    else
        applyObject(valueOf(written));
    divideRequests();
}

// While this instance reaches neither the store nor a peer, it can not learn that the version was
// condemned.
bool RolloutDirector::isIsolated() const
{
    return m_callbacks.storeAge() > m_bounds.rollbackTime / 2 && m_peers.aliveNames().size() <= 1
            && m_peers.memberNames().size() > 1;
}

double RolloutDirector::shareOf(const Rollout &rollout) const
{
    const bool isStopped = rollout.isBad || (rollout.status.share < 1 && isIsolated());
    return isStopped || !rollout.isTakenUp() ? 0 : rollout.status.share;
}

void RolloutDirector::divideRequests()
{
    std::map<std::string, VersionSplit> splits = m_withdrawn;
    for (const auto &[service, rollout] : m_rollouts)
        splits[service] = {rollout->order.version, rollout->status.phase, shareOf(*rollout)};
    if (splits == m_splits && m_endpoints.knowsVersionSplits())
        return;
    m_splits = std::move(splits);
    m_endpoints.setVersionSplits(m_splits, m_clock.now());
    m_peers.noteUsageChange();
    m_callbacks.changed();
}

wire::RolloutViewT RolloutDirector::viewOf(const Rollout &rollout, bool withCounts) const
{
    wire::RolloutViewT view;
    view.service = rollout.order.service;
    view.version = rollout.order.version;
    view.startedAtMs = unixMilliseconds(rollout.status.startedAt);
    view.revision = rollout.revision;
    view.phase = static_cast<std::uint8_t>(rollout.status.phase);
    view.sharePerTenThousand = wireShare(rollout.status.share);
    view.isBad = rollout.isBad;
    if (!withCounts)
        return view;
    for (const auto &[name, route] : rollout.local.routes)
        view.routes.emplace_back(name, encode(route.target), encode(route.others));
    for (const auto &[endpoint, tally] : rollout.local.targetEndpoints)
        view.endpoints.emplace_back(endpoint, encode(tally));
    return view;
}

void RolloutDirector::fillReport(const std::string &peer, wire::FleetReportT &report) const
{
    const auto now = m_clock.now();
    for (const auto &[service, rollout] : m_rollouts) {
        const bool isReported =
                rollout->isRunning() || now - rollout->stageSince < ReportedAfterEnd;
        if (!rollout->isTakenUp() || !isReported)
            continue;
        const bool withCounts = rollout->isRunning() && isJudge(service, peer);
        report.rollouts.push_back(
                std::make_unique<wire::RolloutViewT>(viewOf(*rollout, withCounts)));
    }
}

void RolloutDirector::handleReport(const std::string &peer, const wire::FleetReportT &report)
{
    for (const auto &view : report.rollouts) {
        const auto found = m_rollouts.find(view->service);
        if (found == m_rollouts.end() || found->second->order.version != view->version
            || view->phase > static_cast<std::uint8_t>(RolloutPhase::RolledBack))
            continue;
        Rollout &rollout = *found->second;
        RolloutStatus status;
        status.phase = static_cast<RolloutPhase>(view->phase);
        status.version = view->version;
        status.startedAt = std::chrono::system_clock::time_point(milliseconds(view->startedAtMs));
        status.share = view->sharePerTenThousand / SharesPerUnit;
        if (view->revision > rollout.revision)
            adoptStatus(rollout, status, view->revision, peer);
        rollout.peerViews[peer] = {view->startedAtMs, status.phase, view->sharePerTenThousand};
        if (status.startedAt != rollout.status.startedAt)
            continue;
        if (view->isBad)
            condemn(rollout, peer);
        if (!view->routes.empty()) {
            rollout.evidence.set(peer, report.incarnation, decodeTallies(*view));
            rollout.hasNews = true;
        }
    }
    if (m_areOrdersKnown)
        divideRequests();
}

void RolloutDirector::removePeer(const std::string &peer)
{
    for (const auto &[service, rollout] : m_rollouts)
        rollout->peerViews.erase(peer);
}

void RolloutDirector::updateMetrics(const Rollout &rollout)
{
    const Labels labels{{"service", rollout.order.service}};
    m_metrics.gauge("rollout_share_per_ten_thousand", labels).set(wireShare(rollout.status.share));
    m_metrics.gauge("rollout_phase", labels).set(static_cast<std::int64_t>(rollout.status.phase));
}

} // namespace pistachiofall
