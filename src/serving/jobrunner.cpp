#include "serving/jobrunner.h"

#include "serving/eventsplitter.h"
#include "wire/sleep.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Results of one job are written together, at most so often: a job is read twice a second.
constexpr milliseconds WriteInterval{1000};
constexpr milliseconds WriteRetryPause{100};
// An item starts only if the store has confirmed this recently that its job is open. Callers are
// promised that nothing of an ended job starts after 3 s.
constexpr milliseconds ConfirmationLife{1500};
// An owner that was replaced does not know it yet for so long; the next one needs longer than this
// for a result of its own.
constexpr milliseconds ReadingLife{2000};
constexpr milliseconds ConnectTimeout{300};
// An engine that admits in order of arrival may let an item wait behind others.
constexpr milliseconds FirstEventTimeout{4000};
constexpr milliseconds EventTimeout{1500};
// What the endpoint may work on one item; far beyond any run.
constexpr milliseconds ItemTime{60000};
constexpr milliseconds PauseAfterFailure{200};
// Losses are looked after at once; this finds what they missed.
constexpr milliseconds AdoptionInterval{8000};
// The peers are heard by then.
constexpr milliseconds FirstAdoption{700};
constexpr milliseconds AdoptionAfterLoss{300};
constexpr milliseconds AdoptionPoll{200};
constexpr unsigned CanNotBeDone = 422;
constexpr unsigned FirstServerError = 500;

} // namespace

JobRunner::JobRunner(const asio::any_io_executor &executor, ServingParts parts, JobStore &store,
                     std::string owner, Callbacks callbacks)
    : m_executor(executor)
    , m_parts(std::move(parts))
    , m_store(store)
    , m_owner(std::move(owner))
    , m_callbacks(std::move(callbacks))
{ }

void JobRunner::start()
{
    m_nextAdoption = m_parts.clock.now() + FirstAdoption;
    asio::co_spawn(m_executor, adoptRepeatedly(), asio::detached);
}

std::shared_ptr<OwnedJob> JobRunner::find(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second;
}

void JobRunner::add(JobHead head, std::vector<JobItem> items)
{
    if (m_jobs.contains(head.id))
        return;
    const auto now = m_parts.clock.now();
    const auto age = m_parts.clock.wallNow() - head.submitted;
    auto job = std::make_shared<OwnedJob>();
    job->progress.resize(items.size());
    for (const JobResult &result : head.results) {
        for (std::size_t index = 0; index < items.size(); ++index) {
            if (items[index].id == result.itemId)
                job->progress[index].state = ItemProgress::State::Finished;
        }
    }
    job->due = now + head.dueAfter - std::chrono::duration_cast<std::chrono::nanoseconds>(age);
    job->confirmed = now;
    job->acknowledged = now;
    job->items = std::move(items);
    m_parts.log.info("job_taken",
                     {{"job", head.id},
                      {"items", std::uint64_t{head.itemCount}},
                      {"finished", std::uint64_t{head.results.size()}},
                      {"revision", head.revision}});
    m_order.emplace(job->due, head.id);
    job->head = std::move(head);
    m_jobs[job->head.id] = job;
    pump();
}

void JobRunner::pump()
{
    const ServingConfig::Ptr config = m_callbacks.config();
    if (m_isStopping || m_isPumping || !config)
        return;
    m_isPumping = true;
    // Copies, since finishing an item may change the order.
    const std::vector<JobOrder> order(m_order.begin(), m_order.end());
    bool hasSlot = true;
    for (const JobOrder &each : order) {
        const JobPtr job = find(std::get<1>(each));
        if (!job || !hasSlot)
            continue;
        for (std::size_t index = 0; hasSlot && index < job->items.size(); ++index) {
            const ItemProgress &progress = job->progress[index];
            if (job->isReleased || progress.state != ItemProgress::State::Pending
                || progress.notBefore > m_parts.clock.now())
                continue;
            hasSlot = placeNext(job, index, *config);
        }
    }
    m_isPumping = false;
}

// Places one item; false when there is no slot.
bool JobRunner::placeNext(const JobPtr &job, std::size_t index, const ServingConfig &config)
{
    const JobItem &item = job->items[index];
    if (m_parts.clock.wallNow() > job->head.submitted + job->head.retention) {
        finishWithoutRun(job, index, "retention");
        return true;
    }
    const ServingRoute *route = config.findRoute(job->head.host, item.path);
    if (route == nullptr) {
        finishWithoutRun(job, index, "no_route");
        return true;
    }
    PlacementRequest request;
    request.service = chooseService(*route, item.id);
    request.failureDomain = m_parts.failureDomain;
    request.key = item.id;
    auto placement = m_parts.scheduler.tryBatch(request);
    if (!placement)
        return false;
    ItemProgress &progress = job->progress[index];
    progress.state = ItemProgress::State::Running;
    progress.endpoint = placement->endpoint.id;
    progress.isYielding = false;
    asio::co_spawn(m_executor, runItem(job, index, std::move(*placement)), asio::detached);
    return true;
}

void JobRunner::finishWithoutRun(const JobPtr &job, std::size_t index, std::string_view reason)
{
    m_parts.log.warning("item_given_up",
                        {{"job", job->head.id},
                         {"item", job->items[index].id},
                         {"reason", reason},
                         {"failures", job->progress[index].failures}});
    finish(job, index, {job->items[index].id, true, {}});
}

asio::awaitable<void> JobRunner::runItem(JobPtr job, std::size_t index, Placement placement)
{
    const auto begin = m_parts.clock.now();
    const bool mayStart = co_await confirm(job);
    if (mayStart)
        co_await callEndpoint(job, index, placement);
    ItemProgress &progress = job->progress[index];
    progress.call.reset();
    progress.endpoint.clear();
    if (progress.state == ItemProgress::State::Running)
        progress.state = ItemProgress::State::Pending;
    const auto held = std::chrono::duration_cast<milliseconds>(m_parts.clock.now() - begin);
    m_parts.scheduler.release(placement.endpoint.id, placement.endpoint.service, WorkClass::Batch,
                              held);
}

asio::awaitable<std::optional<JobHead>> JobRunner::readableHead(std::string id)
{
    const JobPtr job = find(id);
    if (!job)
        co_return std::nullopt;
    if (m_parts.clock.now() - job->acknowledged > ReadingLife)
        co_await reconcile(job);
    const bool isCurrent = m_parts.clock.now() - job->acknowledged <= ReadingLife;
    if (job->isReleased || !isCurrent)
        co_return std::nullopt;
    co_return job->head;
}

// Whether items of the job may start. Without an answer of the store they may: an instance that has
// lost it goes on with what it knows.
asio::awaitable<bool> JobRunner::confirm(JobPtr job)
{
    if (job->isReleased)
        co_return false;
    if (m_parts.clock.now() - job->confirmed <= ConfirmationLife || job->isWriting)
        co_return true;
    // One read for all items that start together.
    job->confirmed = m_parts.clock.now();
    co_await reconcile(job);
    co_return !job->isReleased;
}

asio::awaitable<void> JobRunner::callEndpoint(JobPtr job, std::size_t index, Placement placement)
{
    const JobItem &item = job->items[index];
    ItemProgress &progress = job->progress[index];
    const FleetEndpoint &endpoint = placement.endpoint;
    EndpointHop hop{item.id,  job->head.host,      endpoint.id, job->head.organisation,
                    ItemTime, progress.lastEventId};
    auto sent = std::make_shared<EndpointRequest>();
    sent->target = item.path;
    sent->headers = m_parts.protocol.endpointHeaders(item.headers, hop);
    sent->body = item.body;
    sent->form = RequestForm::Verbatim;
    CallOptions options;
    options.trafficClass = TrafficClass::Batch;
    options.idempotency = Idempotency::Idempotent;
    options.connectTimeout = ConnectTimeout;
    options.firstByteTimeout = FirstEventTimeout;
    options.gapTimeout = EventTimeout;
    options.acceptsEndByClose = true;
    progress.call = m_parts.client->prepare(endpoint.address, std::move(sent), options);
    const auto call = progress.call;
    m_parts.log.info("item_placed",
                     {{"job", job->head.id},
                      {"item", item.id},
                      {"endpoint", endpoint.id},
                      {"in_use", m_parts.board.totalUsage(endpoint.id).total()},
                      {"after_event", std::uint64_t{progress.lastEventId.value_or(0)}}});
    const CallResult<AnswerHead> head = co_await call->send();
    if (!isOk(head)) {
        if (!progress.isYielding && !job->isReleased) {
            m_parts.board.recordFailure(endpoint.id, m_parts.clock.now());
            progress.notBefore = m_parts.clock.now() + PauseAfterFailure;
            m_parts.log.warning("item_interrupted",
                                {{"job", job->head.id},
                                 {"item", item.id},
                                 {"endpoint", endpoint.id},
                                 {"reason", failureOf(head).error.message}});
        }
        co_return;
    }
    if (m_parts.protocol.classify(valueOf(head), item.id) != AnswerKind::Success) {
        takeFailure(job, index, valueOf(head), placement);
        co_return;
    }
    EventSplitter splitter;
    bool isInOrder = true;
    const auto onEvent = [&progress, &isInOrder](const StreamEvent &event) {
        if (event.id && progress.lastEventId && *event.id != *progress.lastEventId + 1)
            isInOrder = false;
        if (!isInOrder || !event.hasData)
            return;
        if (progress.hasOutput)
            progress.output += '\n';
        progress.output += event.data;
        progress.hasOutput = true;
        if (event.id)
            progress.lastEventId = event.id;
    };
    for (;;) {
        const auto piece = co_await call->readSome();
        const bool isEnd = isOk(piece) && valueOf(piece).empty();
        const bool isReadable = isOk(piece) && splitter.feed(valueOf(piece), onEvent) && isInOrder
                && !(isEnd && splitter.hasPartialEvent());
        if (!isReadable) {
            if (!progress.isYielding && !job->isReleased) {
                m_parts.board.recordFailure(endpoint.id, m_parts.clock.now());
                m_parts.log.warning("item_interrupted",
                                    {{"job", job->head.id},
                                     {"item", item.id},
                                     {"endpoint", endpoint.id},
                                     {"reason",
                                      isOk(piece) ? std::string("events out of order")
                                                  : failureOf(piece).error.message}});
            }
            call->cancel();
            co_return;
        }
        if (isEnd)
            break;
    }
    m_parts.board.recordSuccess(endpoint.id);
    std::string output = progress.output;
    finish(job, index, {item.id, false, std::move(output)});
}

void JobRunner::takeFailure(const JobPtr &job, std::size_t index, const AnswerHead &head,
                            const Placement &placement)
{
    ItemProgress &progress = job->progress[index];
    const JobItem &item = job->items[index];
    const AnswerKind kind = m_parts.protocol.classify(head, item.id);
    progress.notBefore = m_parts.clock.now() + PauseAfterFailure;
    progress.call->cancel();
    if (kind == AnswerKind::WrongEndpoint || kind == AnswerKind::Foreign)
        m_parts.board.recordFailure(placement.endpoint.id, m_parts.clock.now());
    if (kind != AnswerKind::Failure)
        return;
    if (head.status == CanNotBeDone) {
        finishWithoutRun(job, index, "can_not_be_done");
        return;
    }
    if (head.status < FirstServerError)
        return;
    ++progress.failures;
    const ServingConfig::Ptr config = m_callbacks.config();
    const ServingRoute *route = config ? config->findRoute(job->head.host, item.path) : nullptr;
    if (route != nullptr && progress.failures >= route->attempts)
        finishWithoutRun(job, index, "failed_too_often");
}

void JobRunner::finish(const JobPtr &job, std::size_t index, JobResult result)
{
    job->progress[index].state = ItemProgress::State::Finished;
    job->progress[index].output.clear();
    if (job->isReleased)
        return;
    m_parts.metrics.counter("items_total", {{"outcome", result.isDead ? "dead" : "complete"}})
            .add();
    if (job->unwritten.empty())
        job->oldestUnwritten = m_parts.clock.now();
    job->unwritten.push_back(std::move(result));
    if (!job->isWriting) {
        job->isWriting = true;
        asio::co_spawn(m_executor, writeResults(job), asio::detached);
    }
}

// Writes until nothing is left to write.
asio::awaitable<void> JobRunner::writeResults(JobPtr job)
{
    while (!job->unwritten.empty() && !job->isReleased) {
        const auto now = m_parts.clock.now();
        const bool isLast = job->finishedCount() == job->head.itemCount;
        const auto dueIn = job->oldestUnwritten + WriteInterval - now;
        if (!isLast && !m_isStopping && dueIn.count() > 0) {
            // Short steps, since the last item may finish meanwhile.
            co_await sleepFor(std::min(std::chrono::ceil<milliseconds>(dueIn), WriteRetryPause));
            continue;
        }
        JobHead next = job->head;
        next.owner = m_owner;
        next.results.insert(next.results.end(), job->unwritten.begin(), job->unwritten.end());
        auto written = co_await m_store.write(std::move(next));
        if (isOk(written)) {
            job->takeStored(valueOf(std::move(written)), m_parts.clock.now());
            job->oldestUnwritten = m_parts.clock.now();
            releaseIfNotOurs(job);
            continue;
        }
        m_parts.log.warning("results_not_written",
                            {{"job", job->head.id}, {"reason", errorOf(written).message}});
        co_await reconcile(job);
        if (!job->isReleased)
            co_await sleepFor(WriteRetryPause);
    }
    job->isWriting = false;
    if (!job->isReleased && job->head.results.size() >= job->head.itemCount)
        release(job, "complete");
}

// Reads the job again and keeps to what the store holds. False when the store did not answer.
asio::awaitable<bool> JobRunner::reconcile(JobPtr job)
{
    std::string id = job->head.id;
    auto stored = co_await m_store.read(std::move(id));
    if (!isOk(stored)) {
        if (errorOf(stored).code == ErrorCode::NotFound)
            release(job, "not_stored");
        co_return false;
    }
    job->takeStored(valueOf(std::move(stored)), m_parts.clock.now());
    releaseIfNotOurs(job);
    co_return true;
}

void JobRunner::releaseIfNotOurs(const JobPtr &job)
{
    if (job->head.owner != m_owner)
        release(job, "other_owner");
    else if (job->head.hasEnded)
        release(job, "ended");
}

void JobRunner::release(const JobPtr &job, std::string_view reason)
{
    if (job->isReleased)
        return;
    job->isReleased = true;
    m_parts.log.info("job_released",
                     {{"job", job->head.id},
                      {"reason", reason},
                      {"finished", std::uint64_t{job->head.results.size()}},
                      {"revision", job->head.revision}});
    for (ItemProgress &progress : job->progress) {
        if (progress.call)
            progress.call->cancel();
    }
    m_order.erase({job->due, job->head.id});
    m_jobs.erase(job->head.id);
}

void JobRunner::yield(const std::string &endpoint, int count)
{
    std::vector<std::pair<SteadyTime, ItemProgress *>> running;
    for (const auto &[id, job] : m_jobs) {
        for (ItemProgress &progress : job->progress) {
            if (progress.state != ItemProgress::State::Running || progress.endpoint != endpoint)
                continue;
            if (progress.isYielding)
                --count;
            else if (progress.call)
                running.emplace_back(job->due, &progress);
        }
    }
    // The item with the most time left makes room.
    std::sort(running.begin(), running.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    for (const auto &[due, progress] : running) {
        if (count-- <= 0)
            break;
        progress->isYielding = true;
        progress->call->cancel();
        m_parts.metrics.counter("items_put_aside_total").add();
    }
}

void JobRunner::jobEnded(const std::string &id)
{
    if (const JobPtr job = find(id))
        release(job, "ended");
}

void JobRunner::lookUp(const std::string &id)
{
    m_lookUps.insert(id);
}

// An own job that does not run here is one whose write was taken for lost.
bool JobRunner::isOrphan(const JobHead &head) const
{
    if (m_jobs.contains(head.id))
        return false;
    return head.owner == m_owner || !m_callbacks.isOwnerAlive(head.owner);
}

asio::awaitable<void> JobRunner::lookUpAll()
{
    const std::set<std::string> ids = m_lookUps;
    for (const std::string &each : ids) {
        std::string id = each;
        auto head = co_await m_store.read(std::move(id));
        const bool isUnknown = !isOk(head) && errorOf(head).code != ErrorCode::NotFound;
        if (isUnknown)
            continue;
        m_lookUps.erase(each);
        if (isOk(head) && valueOf(head).isOpen() && isOrphan(valueOf(head)))
            co_await adopt(valueOf(std::move(head)));
    }
}

void JobRunner::noteOwnerGone()
{
    m_nextAdoption = std::min(m_nextAdoption, m_parts.clock.now() + AdoptionAfterLoss);
}

void JobRunner::stop()
{
    m_isStopping = true;
    for (const auto &[id, job] : m_jobs) {
        for (ItemProgress &progress : job->progress) {
            if (!progress.call)
                continue;
            progress.isYielding = true;
            progress.call->cancel();
        }
    }
}

asio::awaitable<void> JobRunner::adoptRepeatedly()
{
    while (!m_isStopping) {
        co_await sleepFor(AdoptionPoll);
        co_await lookUpAll();
        const bool isDue = m_parts.clock.now() >= m_nextAdoption;
        if (isDue)
            m_nextAdoption = m_parts.clock.now() + AdoptionInterval;
        if (isDue && m_callbacks.looksForOrphans())
            co_await adoptOrphans();
    }
}

asio::awaitable<void> JobRunner::adoptOrphans()
{
    auto open = co_await m_store.listOpen();
    if (!isOk(open)) {
        m_parts.log.warning("jobs_not_listed", {{"reason", errorOf(open).message}});
        m_nextAdoption = m_parts.clock.now() + AdoptionAfterLoss;
        co_return;
    }
    for (JobHead &head : valueOf(open)) {
        if (isOrphan(head) && !m_callbacks.handOver(head.id))
            lookUp(head.id);
    }
}

asio::awaitable<void> JobRunner::adopt(JobHead head)
{
    JobHead taken = std::move(head);
    JobHead source = taken;
    auto items = co_await m_store.readItems(std::move(source));
    if (!isOk(items)) {
        m_parts.log.warning("job_not_adopted",
                            {{"job", taken.id}, {"reason", errorOf(items).message}});
        co_return;
    }
    const std::string before = std::exchange(taken.owner, m_owner);
    JobHead sent = taken;
    auto written = co_await m_store.write(std::move(sent));
    m_parts.log.info(
            "job_adopted",
            {{"job", taken.id},
             {"from", before},
             {"outcome", isOk(written) ? std::string("taken") : errorOf(written).message}});
    if (!isOk(written)) {
        lookUp(taken.id);
        co_return;
    }
    add(valueOf(std::move(written)), valueOf(std::move(items)));
}

} // namespace pistachiofall
