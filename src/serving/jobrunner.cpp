#include "serving/jobrunner.h"

#include "base/stablehash.h"
#include "serving/itemoutput.h"
#include "wire/sleep.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ConnectTimeout{300};
// Between the confirmation that an item needs and its arrival at the endpoint: the connection, and
// a margin for a busy machine.
constexpr milliseconds StartMargin = ConnectTimeout + milliseconds{200};
constexpr milliseconds MinConfirmationTtl{200};
// The next confirmation is asked for this long before the last one is too old, so that no item
// waits for it.
constexpr milliseconds ConfirmationLead{500};
constexpr milliseconds ConfirmationPollInterval{10};
// How long items start without a confirmation before a store that does not answer is asked again.
constexpr milliseconds UnconfirmedTime{500};
// An engine that admits requests in order of arrival may queue an item behind others.
constexpr milliseconds FirstEventTimeout{4000};
constexpr milliseconds EventTimeout{1500};
// The deadline sent to the endpoint with each item; far longer than any run.
constexpr milliseconds ItemTimeout{60000};
// A longer run is broken off, and goes on after its last event.
constexpr std::size_t MaxItemResponseBytes = ItemOutput::MaxBytes;
constexpr milliseconds RetryDelay{200};
// The online request that took the slot of a preempted item is not the last one of its burst.
constexpr milliseconds DelayAfterPreemption{200};
// Items of other instances that can be in time find the slots that late items leave free.
constexpr int ExtraMarginOfLateItems = 1;
// Items that wait longer for room beside a peak show that there is not enough of it.
constexpr milliseconds MaxHoldForPeaks{2000};
constexpr milliseconds MinBatchTurn{50};
constexpr int MaxRetryDoublings = 4;
constexpr unsigned UnprocessableStatus = 422;
constexpr unsigned MinServerErrorStatus = 500;

} // namespace

JobRunner::JobRunner(const asio::any_io_executor &executor, ServingDependencies dependencies,
                     JobStore &store, std::string owner, milliseconds cancelBound,
                     Callbacks callbacks)
    : m_executor(executor)
    , m_dependencies(std::move(dependencies))
    , m_owner(std::move(owner))
    , m_confirmationTtl(std::max(cancelBound - StartMargin, MinConfirmationTtl))
    , m_callbacks(std::move(callbacks))
    , m_writer(executor, m_dependencies.clock, m_dependencies.log, store, m_owner,
               [this](const JobPtr &job, std::string_view reason) { release(job, reason); })
    , m_adopter(executor, m_dependencies.clock, m_dependencies.log, store, m_owner,
                adopterCallbacks())
{ }

JobAdopter::Callbacks JobRunner::adopterCallbacks()
{
    JobAdopter::Callbacks callbacks;
    callbacks.isOwnerAlive = m_callbacks.isOwnerAlive;
    callbacks.isReported = m_callbacks.isReported;
    callbacks.listersBefore = m_callbacks.listersBefore;
    callbacks.peerListingAge = m_callbacks.peerListingAge;
    callbacks.handOver = m_callbacks.handOver;
    callbacks.runsHere = [this](const std::string &id) { return m_jobs.contains(id); };
    callbacks.adopted = [this](JobRecord record, std::vector<JobItem> items, SteadyTime sent) {
        const std::string id = record.id;
        add(std::move(record), std::move(items), sent);
        if (const JobPtr job = find(id))
            job->readLease.recordTakeover(m_dependencies.clock.bootNow());
    };
    return callbacks;
}

std::shared_ptr<OwnedJob> JobRunner::find(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second;
}

std::vector<std::string> JobRunner::jobIds(std::size_t count) const
{
    std::vector<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        if (ids.size() == count)
            break;
        ids.push_back(id);
    }
    return ids;
}

void JobRunner::add(JobRecord record, std::vector<JobItem> items, SteadyTime confirmed)
{
    if (m_jobs.contains(record.id))
        return;
    const auto now = m_dependencies.clock.now();
    const auto age = m_dependencies.clock.wallNow() - record.submitted;
    auto job = std::make_shared<OwnedJob>();
    job->progress.resize(items.size());
    for (std::size_t index = 0; index < items.size(); ++index) {
        ItemProgress &progress = job->progress[index];
        progress.sharedParts =
                m_dependencies.protocol.decodeMetadata(items[index].headers).sharedParts;
        progress.outputShare = m_dependencies.client->makeAnswerShare();
    }
    for (const JobResult &result : record.results) {
        for (std::size_t index = 0; index < items.size(); ++index) {
            if (items[index].id == result.itemId)
                job->progress[index].state = ItemProgress::State::Finished;
        }
    }
    for (std::size_t index = 0; index < items.size(); ++index) {
        const auto failures = record.failures.find(items[index].id);
        if (failures != record.failures.end())
            job->progress[index].failures = failures->second;
    }
    job->due = now + record.dueAfter - std::chrono::duration_cast<std::chrono::nanoseconds>(age);
    job->confirmed = confirmed;
    job->readLease.recordConfirmation(confirmed);
    job->items = std::move(items);
    m_dependencies.log.info("job_taken",
                            {{"job", record.id},
                             {"items", std::uint64_t{record.itemCount}},
                             {"finished", std::uint64_t{record.results.size()}},
                             {"revision", record.revision}});
    job->record = std::move(record);
    m_jobs[job->record.id] = job;
    startPendingItems();
}

void JobRunner::startPendingItems()
{
    if (m_isStopping || m_isStartingItems || !m_callbacks.config())
        return;
    m_isStartingItems = true;
    giveUpItems();
    m_heldServices.clear();
    m_heldItems = 0;
    ItemQueues queues = pendingItems();
    queues.startItems([this](const QueuedItem &item) { return startItem(item); });
    m_waitingItems = queues.counts();
    m_isStartingItems = false;
}

// Chooses the service of each item by the configuration in force.
void JobRunner::routeItems(OwnedJob &job) const
{
    const ServingConfig::Ptr config = m_callbacks.config();
    if (!config || job.routing == config)
        return;
    job.routing = config;
    for (std::size_t index = 0; index < job.items.size(); ++index) {
        const JobItem &item = job.items[index];
        const ServingRoute *route = config->findRoute(job.record.host, item.path);
        ItemProgress &progress = job.progress[index];
        progress.service =
                route == nullptr ? std::string() : std::string(chooseService(*route, item.id));
        progress.attempts = route == nullptr ? 0 : route->attempts;
        progress.route = route == nullptr ? 0 : stableHash(route->name);
    }
}

// Why an item can not run, whether or not there is a slot; empty if it can.
std::string_view JobRunner::reasonToGiveUp(const OwnedJob &job, const ItemProgress &progress,
                                           WallTime now) const
{
    if (progress.failures.isUnprocessable)
        return "can_not_be_done";
    if (now > job.record.submitted + job.record.retention)
        return "retention";
    if (progress.service.empty())
        return "no_route";
    if (progress.failures.count > 0 && progress.failures.count >= progress.attempts)
        return "failed_too_often";
    return {};
}

// Finishes the pending items that can not run as dead.
void JobRunner::giveUpItems()
{
    const WallTime now = m_dependencies.clock.wallNow();
    std::vector<std::pair<JobPtr, std::size_t>> givenUp;
    for (const auto &[id, job] : m_jobs) {
        routeItems(*job);
        for (std::size_t index = 0; index < job->items.size(); ++index) {
            const ItemProgress &progress = job->progress[index];
            if (progress.state == ItemProgress::State::Pending
                && !reasonToGiveUp(*job, progress, now).empty())
                givenUp.emplace_back(job, index);
        }
    }
    for (const auto &[job, index] : givenUp)
        finishAsDead(job, index, reasonToGiveUp(*job, job->progress[index], now));
}

// An item that has failed waits until the store holds its failures: were this instance lost, the
// next owner would not know of them.
ItemQueues JobRunner::pendingItems()
{
    const auto now = m_dependencies.clock.now();
    ItemQueues pending;
    for (const auto &[id, job] : m_jobs) {
        for (std::size_t index = 0; index < job->items.size(); ++index) {
            ItemProgress &progress = job->progress[index];
            const bool isReady = progress.state == ItemProgress::State::Pending
                    && progress.notBefore <= now && job->areFailuresStored(index);
            if (!isReady)
                progress.readySince = {};
            else if (progress.readySince == SteadyTime{})
                progress.readySince = now;
            if (isReady)
                pending.add(progress.service, {rankOf(*job, progress), job, index});
        }
    }
    return pending;
}

ItemRank JobRunner::rankOf(const OwnedJob &job, const ItemProgress &progress) const
{
    const auto found = m_itemOrders.find(progress.service);
    const ItemOrder order = found == m_itemOrders.end() ? ItemOrder() : found->second;
    return order.rank(job.due, progress.lastEventId.value_or(0), m_dependencies.clock.now());
}

ItemQueues::Start JobRunner::startItem(const QueuedItem &item)
{
    const JobPtr &job = item.job;
    ItemProgress &progress = job->progress[item.index];
    if (job->isReleased || isHeldBack(item))
        return ItemQueues::Start::Done;
    PlacementRequest request;
    request.service = progress.service;
    request.failureDomain = m_dependencies.failureDomain;
    request.key = job->items[item.index].id;
    request.previousEndpoint = progress.previousEndpoint;
    request.batchTurn = batchTurn();
    request.extraMargin = item.rank.isLate ? ExtraMarginOfLateItems : 0;
    const auto now = m_dependencies.clock.now();
    request.isUrgent = !m_dependencies.scheduler.leavesRoomForPeaks()
            || ItemOrder::isUrgent(item.rank, now)
            || (!item.rank.isLate && now - progress.readySince > MaxHoldForPeaks);
    if (!request.isUrgent && m_heldServices.contains(request.service))
        return ItemQueues::Start::NotNow;
    auto placement = m_dependencies.scheduler.tryAcquireBatch(request);
    if (!placement && request.isUrgent)
        return ItemQueues::Start::NoSlot;
    if (!placement) {
        m_heldServices.insert(request.service);
        return ItemQueues::Start::NotNow;
    }
    progress.state = ItemProgress::State::Running;
    progress.endpoint = placement->endpoint.id;
    progress.isPreempted = false;
    asio::co_spawn(m_executor, runItem(job, item.index, std::move(*placement)), asio::detached);
    return ItemQueues::Start::Done;
}

// An item with a quarantined part stays pending: it may be sound, and its part is tested now and
// then. It is given up when its retention ends.
bool JobRunner::isHeldBack(const QueuedItem &item)
{
    ItemProgress &progress = item.job->progress[item.index];
    const auto wait = m_dependencies.promptGuard.findRejection(
            {progress.sharedParts, progress.endedEndpoints});
    if (wait && !progress.isHeldBack)
        m_dependencies.log.warning("item_held_back",
                                   {{"job", item.job->record.id},
                                    {"item", item.job->items[item.index].id},
                                    {"ended_endpoints", progress.endedEndpoints},
                                    {"wait_ms", std::int64_t{wait->count()}}});
    progress.isHeldBack = wait.has_value();
    m_heldItems += wait ? 1 : 0;
    return wait.has_value();
}

// The number of the present turn at endpoints. A turn lasts until the items started in the one
// before are known everywhere in the failure domain.
std::uint64_t JobRunner::batchTurn() const
{
    const milliseconds turn =
            std::max(MinBatchTurn, m_dependencies.board.usageAge().sameDomain * 2);
    return static_cast<std::uint64_t>(m_dependencies.clock.wallNow().time_since_epoch() / turn);
}

void JobRunner::finishAsDead(const JobPtr &job, std::size_t index, std::string_view reason)
{
    m_dependencies.log.warning("item_given_up",
                               {{"job", job->record.id},
                                {"item", job->items[index].id},
                                {"reason", reason},
                                {"failures", job->progress[index].failures.count}});
    finishItem(job, index, {job->items[index].id, true, {}});
}

asio::awaitable<void> JobRunner::runItem(JobPtr job, std::size_t index, Placement placement)
{
    const auto begin = m_dependencies.clock.now();
    const bool isConfirmed = co_await confirmOwnership(job);
    // While the job was read, another configuration may have come into force, or the endpoint may
    // have begun to drain.
    routeItems(*job);
    ItemProgress &progress = job->progress[index];
    if (isConfirmed && m_dependencies.board.accepts(placement.endpoint.id, progress.service))
        co_await callEndpoint(job, index, placement);
    progress.call.reset();
    progress.isTest = false;
    const std::string endpoint = std::exchange(progress.endpoint, {});
    progress.previousEndpoint = progress.isPreempted ? endpoint : std::string();
    if (progress.isPreempted)
        progress.notBefore = m_dependencies.clock.now() + DelayAfterPreemption;
    if (progress.state == ItemProgress::State::Running)
        progress.state = ItemProgress::State::Pending;
    const auto held = std::chrono::duration_cast<milliseconds>(m_dependencies.clock.now() - begin);
    progress.runTime += held;
    if (progress.state == ItemProgress::State::Finished)
        m_itemOrders[placement.endpoint.service].recordFinished(progress.lastEventId.value_or(0),
                                                                progress.runTime);
    m_dependencies.scheduler.release(placement.endpoint.id, placement.endpoint.service,
                                     WorkClass::Batch, held);
}

asio::awaitable<std::optional<JobRecord>> JobRunner::currentRecord(std::string id)
{
    const JobPtr job = find(id);
    if (!job)
        co_return std::nullopt;
    if (job->readLease.mayAnswer(m_dependencies.clock.bootNow()))
        co_return job->record;
    const bool isRead = co_await m_writer.reconcile(job);
    if (job->isReleased || !isRead)
        co_return std::nullopt;
    co_return job->record;
}

bool JobRunner::isConfirmed(const OwnedJob &job, milliseconds maxAge) const
{
    return m_dependencies.clock.bootNow() - job.confirmed <= maxAge;
}

// Returns whether items of the job may start. When the last confirmation is too old, as after a
// freeze, they wait for the answer of the store. If it does not answer they may start: during an
// outage the instance continues with its last known state, and goes on asking.
asio::awaitable<bool> JobRunner::confirmOwnership(JobPtr job)
{
    const bool isSoonTooOld = !isConfirmed(*job, m_confirmationTtl - ConfirmationLead);
    const bool isAsking = job->isReleased || job->isConfirming;
    if (isSoonTooOld && !isAsking && m_dependencies.clock.bootNow() >= job->unconfirmedUntil)
        startAsking(job);
    while (!job->isReleased && !isConfirmed(*job, m_confirmationTtl) && job->isConfirming)
        co_await sleepFor(ConfirmationPollInterval);
    co_return !job->isReleased;
}

void JobRunner::startAsking(const JobPtr &job)
{
    job->isConfirming = true;
    asio::co_spawn(m_executor, askForConfirmation(job), asio::detached);
}

asio::awaitable<void> JobRunner::askForConfirmation(JobPtr job)
{
    const bool isAnswered = co_await m_writer.confirm(job);
    job->isConfirming = false;
    if (!isAnswered && !job->isReleased)
        job->unconfirmedUntil = m_dependencies.clock.bootNow() + UnconfirmedTime;
}

asio::awaitable<void> JobRunner::callEndpoint(JobPtr job, std::size_t index, Placement placement)
{
    const JobItem &item = job->items[index];
    ItemProgress &progress = job->progress[index];
    const FleetEndpoint &endpoint = placement.endpoint;
    progress.isTest = m_dependencies.promptGuard.isTest(progress.sharedParts);
    if (m_dependencies.promptGuard.admit(item.id, {progress.sharedParts, progress.endedEndpoints}))
        co_return;
    ForwardingContext forwarding{item.id,     job->record.host,
                                 endpoint.id, job->record.organisation,
                                 ItemTimeout, progress.lastEventId};
    auto sent = std::make_shared<EndpointRequest>();
    sent->target = item.path;
    sent->headers = m_dependencies.protocol.endpointHeaders(item.headers, forwarding);
    sent->body = item.body;
    sent->form = RequestForm::Verbatim;
    CallOptions options;
    options.trafficClass = TrafficClass::Batch;
    options.idempotency = Idempotency::Idempotent;
    options.connectTimeout = ConnectTimeout;
    options.firstByteTimeout = FirstEventTimeout;
    options.gapTimeout = EventTimeout;
    options.acceptsEndByClose = true;
    options.maxBodyBytes = MaxItemResponseBytes;
    progress.call = m_dependencies.client->prepare(endpoint.address, std::move(sent), options);
    const auto call = progress.call;
    const auto begin = m_dependencies.clock.now();
    m_dependencies.log.info("item_placed",
                            {{"job", job->record.id},
                             {"item", item.id},
                             {"endpoint", endpoint.id},
                             {"in_use", m_dependencies.board.totalUsage(endpoint.id).total()},
                             {"after_event", std::uint64_t{progress.lastEventId.value_or(0)}}});
    const CallResult<AnswerHead> responseHead = co_await call->send();
    if (!isOk(responseHead)) {
        const CallFailure &failure = failureOf(responseHead);
        recordInterruption(
                job, index, endpoint,
                {failure.error.message, endsConnection(failure), failure.isStaleConnection});
        progress.notBefore = m_dependencies.clock.now() + retryDelay(job, index);
        co_return;
    }
    const ResponseKind kind = m_dependencies.protocol.classify(valueOf(responseHead), item.id);
    m_dependencies.leavingNotices.recordResponse(endpoint, valueOf(responseHead), kind);
    if (kind != ResponseKind::Success) {
        co_await handleFailureResponse(job, index, endpoint, valueOf(responseHead), kind);
        co_return;
    }
    ItemOutput output(progress, m_dependencies.clock.now(), FirstEventTimeout, EventTimeout);
    for (auto state = ItemOutput::State::GoesOn; state != ItemOutput::State::Complete;) {
        const auto piece = co_await call->readSome();
        const int before = output.eventCount();
        state = isOk(piece) ? output.take(valueOf(piece), m_dependencies.clock.now())
                            : ItemOutput::State::Invalid;
        if (before < PromptGuard::AnsweredEvents
            && output.eventCount() >= PromptGuard::AnsweredEvents) {
            progress.endedEndpoints = 0;
            m_dependencies.promptGuard.answered(progress.sharedParts);
        }
        if (state == ItemOutput::State::GoesOn || state == ItemOutput::State::Complete)
            continue;
        if (state == ItemOutput::State::TooLarge)
            progress.discardOutput();
        const bool hasEnded = !isOk(piece) && endsConnection(failureOf(piece))
                && output.eventCount() < PromptGuard::AnsweredEvents;
        recordInterruption(job, index, endpoint,
                           {isOk(piece) ? "events malformed, too large, out of order or stalled"
                                        : failureOf(piece).error.message,
                            hasEnded});
        call->cancel();
        co_return;
    }
    m_dependencies.board.recordSuccess(endpoint.id);
    m_dependencies.promptGuard.answered(progress.sharedParts);
    const std::chrono::duration<double> took = m_dependencies.clock.now() - begin;
    noteAnswer(progress, endpoint, false, took / std::max(1, output.eventCount()));
    finishItem(job, index, {item.id, false, progress.output});
}

void JobRunner::noteAnswer(const ItemProgress &progress, const FleetEndpoint &endpoint,
                           bool isFailure, std::chrono::duration<double> timePerEvent) const
{
    m_dependencies.answers.notify({endpoint, progress.route, isFailure, timePerEvent});
}

// A run has failed at the endpoint, unless it was this instance that ended it.
void JobRunner::recordInterruption(const JobPtr &job, std::size_t index,
                                   const FleetEndpoint &endpoint, const Interruption &interruption)
{
    if (job->progress[index].isPreempted || job->isReleased)
        return;
    if (interruption.hasEndpointEnded)
        noteEndpointEnd(job, index, endpoint);
    if (!interruption.isStaleConnection) {
        m_dependencies.board.recordFailure(endpoint.id, m_dependencies.clock.now());
        noteAnswer(job->progress[index], endpoint, true, {});
    }
    m_dependencies.log.warning("item_interrupted",
                               {{"job", job->record.id},
                                {"item", job->items[index].id},
                                {"endpoint", endpoint.id},
                                {"stale", interruption.isStaleConnection ? "yes" : "no"},
                                {"reason", interruption.reason}});
}

void JobRunner::noteEndpointEnd(const JobPtr &job, std::size_t index, const FleetEndpoint &endpoint)
{
    ItemProgress &progress = job->progress[index];
    m_dependencies.promptGuard.endpointEnded(job->items[index].id, progress.sharedParts, endpoint,
                                             progress.endedEndpoints > 0);
    ++progress.endedEndpoints;
}

// Items whose endpoints keep ending return at different times, so that the sound ones among them
// are answered.
milliseconds JobRunner::retryDelay(const JobPtr &job, std::size_t index) const
{
    const int doublings = std::min(job->progress[index].endedEndpoints, MaxRetryDoublings);
    const milliseconds range = RetryDelay * (1U << static_cast<unsigned>(doublings));
    const std::string key = job->items[index].id + std::to_string(doublings);
    return RetryDelay + milliseconds{static_cast<std::int64_t>(stableHash(key) % range.count())};
}

asio::awaitable<void> JobRunner::handleFailureResponse(JobPtr job, std::size_t index,
                                                       FleetEndpoint endpoint,
                                                       AnswerHead responseHead, ResponseKind kind)
{
    ItemProgress &progress = job->progress[index];
    progress.notBefore = m_dependencies.clock.now() + RetryDelay;
    if (kind != ResponseKind::Unverified) {
        const auto body = co_await progress.call->readRefusal();
        if (!isOk(body)) {
            // Does not tell whether the item has failed.
            const std::string reason = "broken failure response: " + failureOf(body).error.message;
            recordInterruption(job, index, endpoint, {reason});
            co_return;
        }
    }
    progress.call->cancel();
    if (kind == ResponseKind::WrongEndpoint || kind == ResponseKind::Unverified)
        m_dependencies.board.recordFailure(progress.endpoint, m_dependencies.clock.now());
    if (kind != ResponseKind::Failure)
        co_return;
    if (responseHead.status == UnprocessableStatus)
        progress.failures.isUnprocessable = true;
    else if (responseHead.status >= MinServerErrorStatus)
        ++progress.failures.count;
    else
        co_return;
    if (!progress.failures.isUnprocessable)
        noteAnswer(progress, endpoint, true, {});
    m_dependencies.log.warning("item_failed",
                               {{"job", job->record.id},
                                {"item", job->items[index].id},
                                {"endpoint", progress.endpoint},
                                {"status", static_cast<int>(responseHead.status)},
                                {"failures", progress.failures.count}});
    if (job->isReleased)
        co_return;
    m_writer.requestWrite(job);
    const std::string_view reason = reasonToGiveUp(*job, progress, m_dependencies.clock.wallNow());
    if (!reason.empty())
        finishAsDead(job, index, reason);
}

void JobRunner::finishItem(const JobPtr &job, std::size_t index, JobResult result)
{
    job->progress[index].state = ItemProgress::State::Finished;
    job->progress[index].output = std::string();
    job->progress[index].outputShare.resize(0);
    if (job->isReleased)
        return;
    m_dependencies.metrics
            .counter("items_total", {{"outcome", result.isDead ? "dead" : "complete"}})
            .add();
    if (job->unwritten.empty())
        job->oldestUnwritten = m_dependencies.clock.now();
    job->unwritten.push_back(std::move(result));
    m_writer.requestWrite(job);
}

void JobRunner::release(const JobPtr &job, std::string_view reason)
{
    if (job->isReleased)
        return;
    job->isReleased = true;
    m_dependencies.log.info("job_released",
                            {{"job", job->record.id},
                             {"reason", reason},
                             {"finished", std::uint64_t{job->record.results.size()}},
                             {"revision", job->record.revision}});
    for (ItemProgress &progress : job->progress) {
        if (progress.call)
            progress.call->cancel();
    }
    m_jobs.erase(job->record.id);
}

int JobRunner::preempt(const std::string &endpoint, int count)
{
    struct Running
    {
        ItemRank rank;
        ItemProgress *progress;
    };
    std::vector<Running> running;
    for (const auto &[id, job] : m_jobs) {
        for (ItemProgress &progress : job->progress) {
            if (progress.state != ItemProgress::State::Running || progress.endpoint != endpoint)
                continue;
            if (progress.isPreempted)
                --count;
            else if (progress.call && !progress.isTest)
                running.push_back({rankOf(*job, progress), &progress});
        }
    }
    std::sort(running.begin(), running.end(),
              [](const Running &left, const Running &right) { return right.rank < left.rank; });
    int preempted = 0;
    for (const Running &each : running) {
        if (preempted >= count)
            break;
        each.progress->isPreempted = true;
        each.progress->call->cancel();
        m_dependencies.metrics.counter("items_put_aside_total").add();
        ++preempted;
    }
    return preempted;
}

void JobRunner::updateMetrics()
{
    MetricsRegistry &metrics = m_dependencies.metrics;
    metrics.gauge("jobs_owned").set(static_cast<std::int64_t>(m_jobs.size()));
    metrics.gauge("items_held_back").set(static_cast<std::int64_t>(m_heldItems));
    for (const auto &[service, count] : m_waitingItems)
        m_waitingGauges[service] = &metrics.gauge("items_waiting", {{"service", service}});
    for (const auto &[service, gauge] : m_waitingGauges) {
        const auto found = m_waitingItems.find(service);
        const std::size_t count = found == m_waitingItems.end() ? 0 : found->second;
        gauge->set(static_cast<std::int64_t>(count));
    }
}

void JobRunner::jobEnded(const std::string &id)
{
    if (const JobPtr job = find(id))
        release(job, "ended");
}

void JobRunner::jobEndedByHash(std::uint64_t hash)
{
    std::vector<JobPtr> ended;
    for (const auto &[id, job] : m_jobs) {
        if (stableHash(id) == hash)
            ended.push_back(job);
    }
    for (const JobPtr &job : ended)
        release(job, "ended");
}

void JobRunner::stop()
{
    m_isStopping = true;
    m_writer.stop();
    m_adopter.stop();
    for (const auto &[id, job] : m_jobs) {
        for (ItemProgress &progress : job->progress) {
            if (!progress.call)
                continue;
            progress.isPreempted = true;
            progress.call->cancel();
        }
    }
}

} // namespace pistachiofall
