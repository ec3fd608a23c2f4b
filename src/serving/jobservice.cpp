#include "serving/jobservice.h"

#include "wire/sleep.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxItems = 200;
constexpr std::size_t MaxReadBytes = 1'000'000;
// Interval at which a waiting read checks for new results.
constexpr milliseconds ResultPollInterval{700};
constexpr milliseconds RetryAfter{300};
constexpr std::size_t MaxCachedRecords = 256;
constexpr int MaxEndAttempts = 6;
constexpr milliseconds EndRetryDelay{50};

HttpHeaders jsonHeaders()
{
    return {{"Content-Type", "application/json"}};
}

} // namespace

JobService::JobService(ServingDependencies dependencies, JobStore &store, JobRunner &runner,
                       OnlineService &online, EndNotifier endNotifier, OwnerReader ownerReader)
    : m_dependencies(std::move(dependencies))
    , m_store(store)
    , m_runner(runner)
    , m_online(online)
    , m_endNotifier(std::move(endNotifier))
    , m_ownerReader(std::move(ownerReader))
{ }

asio::awaitable<void> JobService::respondUnavailable(ServerExchange &exchange,
                                                     std::string_view call, std::string id,
                                                     Error error)
{
    m_dependencies.metrics.counter("job_calls_failed_total", {{"call", std::string(call)}}).add();
    m_dependencies.log.warning("job_call_failed",
                               {{"call", call}, {"job", id}, {"reason", error.message}});
    const Error unavailable{ErrorCode::Unavailable, "the store did not respond: " + error.message};
    co_await m_online.refuse(exchange, unavailable, RetryAfter);
}

// The call may have taken effect, or may do so later: a status that promises the contrary is wrong.
asio::awaitable<void> JobService::respondUncertain(ServerExchange &exchange, std::string_view call,
                                                   std::string id, std::string reason)
{
    m_dependencies.metrics.counter("job_calls_uncertain_total", {{"call", std::string(call)}})
            .add();
    m_dependencies.log.warning("job_uncertain", {{"call", call}, {"job", id}, {"reason", reason}});
    const Error uncertain{ErrorCode::TimedOut,
                          "the call may have taken effect; send it again: " + reason};
    ErrorAnswer answer = makeErrorAnswer(uncertain, RunState::Unknown);
    co_await exchange.respond(std::move(answer));
}

asio::awaitable<void> JobService::submit(ServerExchange &exchange, OnlineRequest request)
{
    auto items = m_dependencies.protocol.decodeJob(request.body);
    const std::string id = request.metadata.requestId;
    if (!isOk(items) || valueOf(items).size() > MaxItems || id.empty()) {
        const Error error = isOk(items)
                ? Error{ErrorCode::InvalidArgument, "a job needs an id and 1 to 200 items"}
                : errorOf(items);
        m_dependencies.log.warning("job_refused", {{"job", id}, {"reason", error.message}});
        ErrorAnswer answer = makeErrorAnswer(error, RunState::NotRun);
        co_await exchange.respond(std::move(answer));
        co_return;
    }
    // A repeated submission of a job that runs here needs nothing of the store.
    const auto running = m_runner.find(id);
    if (running && running->record.organisation == request.organisation) {
        m_dependencies.log.info("job_repeated", {{"job", id}, {"owner", m_runner.owner()}});
        co_await respondAccepted(exchange, id);
        co_return;
    }
    JobRecord record;
    record.id = id;
    record.organisation = request.organisation;
    record.host = request.metadata.host;
    record.pathPrefix = request.route->pathPrefix;
    record.itemCount = valueOf(items).size();
    record.submitted = m_dependencies.clock.wallNow();
    record.dueAfter = request.route->dueAfter;
    record.retention = request.route->retention;
    record.owner = m_runner.owner();
    std::vector<JobItem> copies = valueOf(items);
    const auto deadline = std::min(request.deadline, request.arrival + CallTimeout);
    const auto sent = m_dependencies.clock.bootNow();
    auto stored = co_await m_store.create(std::move(record), std::move(copies), deadline);
    if (isOk(stored)) {
        m_dependencies.log.info("job_accepted",
                                {{"job", id},
                                 {"organisation", request.organisation},
                                 {"items", std::uint64_t{valueOf(items).size()}}});
        m_dependencies.metrics.counter("jobs_accepted_total").add();
        m_runner.add(valueOf(std::move(stored)), valueOf(std::move(items)), sent);
        co_await respondAccepted(exchange, id);
        co_return;
    }
    const Error error = errorOf(stored);
    if (error.code == ErrorCode::AlreadyExists) {
        co_await respondToDuplicate(exchange, std::move(request), valueOf(std::move(items)));
        co_return;
    }
    const auto now = m_dependencies.clock.now();
    if (error.code == ErrorCode::Unavailable && !m_submittedJobs.mayBeApplied(id, now)) {
        co_await respondUnavailable(exchange, "submit", id, error);
        co_return;
    }
    if (error.code != ErrorCode::Unavailable) {
        m_submittedJobs.record(id, now);
        m_runner.adopter().requestLookUp(id, UncertainWrite(0, now));
    }
    co_await respondUncertain(exchange, "submit", id, error.message);
}

// Responds to a submission whose job id exists already, stored by this or by another instance.
asio::awaitable<void> JobService::respondToDuplicate(ServerExchange &exchange,
                                                     OnlineRequest request,
                                                     std::vector<JobItem> items)
{
    std::string id = request.metadata.requestId;
    const auto sent = m_dependencies.clock.bootNow();
    auto record = co_await m_store.read(std::move(id));
    if (!isOk(record)) {
        // The job exists, so a response that says it was not accepted would be wrong. The caller
        // retries. Its owner may be this instance, by an earlier attempt without an answer.
        m_runner.adopter().requestLookUp(request.metadata.requestId);
        m_submittedJobs.record(request.metadata.requestId, m_dependencies.clock.now());
        co_await respondUncertain(exchange, "submit", request.metadata.requestId,
                                  errorOf(record).message);
        co_return;
    }
    if (valueOf(record).organisation != request.organisation) {
        const Error taken{ErrorCode::InvalidArgument,
                          "job id '" + request.metadata.requestId
                                  + "' is used by another organisation"};
        ErrorAnswer answer = makeErrorAnswer(taken, RunState::NotRun);
        co_await exchange.respond(std::move(answer));
        co_return;
    }
    m_dependencies.log.info("job_repeated",
                            {{"job", request.metadata.requestId},
                             {"owner", valueOf(record).owner},
                             {"revision", valueOf(record).revision}});
    if (valueOf(record).owner == m_runner.owner() && valueOf(record).isOpen())
        m_runner.add(valueOf(std::move(record)), std::move(items), sent);
    co_await respondAccepted(exchange, request.metadata.requestId);
}

asio::awaitable<void> JobService::respondAccepted(ServerExchange &exchange, const std::string &id)
{
    m_submittedJobs.record(id, m_dependencies.clock.now());
    HttpHeaders headers = jsonHeaders();
    std::string body = "{}";
    co_await exchange.respond(202, std::move(headers), std::move(body));
}

void JobService::cacheRecord(std::shared_ptr<const JobRecord> record)
{
    if (m_recordCache.size() >= MaxCachedRecords) {
        const auto oldest = std::min_element(m_recordCache.begin(), m_recordCache.end(),
                                             [](const auto &left, const auto &right) {
                                                 return left.second.read < right.second.read;
                                             });
        m_recordCache.erase(oldest);
    }
    const std::string id = record->id;
    m_recordCache[id] = CachedRecord{std::move(record), m_dependencies.clock.now()};
}

// Reads the job from this instance if it owns the job, else from the last known owner, else from
// the store. A read from the owner saves the store a read of all results.
asio::awaitable<Result<JobRecord>> JobService::readNewest(std::string id, std::string owner)
{
    std::string ownId = id;
    auto own = co_await m_runner.currentRecord(std::move(ownId));
    if (own) {
        logRead("own", *own);
        co_return std::move(*own);
    }
    if (!owner.empty() && owner != m_runner.owner()) {
        std::string askedId = id;
        auto ownerReply = co_await m_ownerReader.read(std::move(owner), std::move(askedId));
        if (isOk(ownerReply)) {
            JobRecord incomplete = valueOf(std::move(ownerReply));
            logRead("owner", incomplete);
            co_return co_await m_store.completeResults(std::move(incomplete));
        }
    }
    auto stored = co_await m_store.read(std::move(id));
    if (isOk(stored))
        logRead("store", valueOf(stored));
    co_return stored;
}

void JobService::logRead(std::string_view source, const JobRecord &record)
{
    m_dependencies.metrics.counter("job_reads_total", {{"source", std::string(source)}}).add();
    m_dependencies.log.info("job_read",
                            {{"job", record.id},
                             {"source", source},
                             {"owner", record.owner},
                             {"revision", record.revision},
                             {"results", std::uint64_t{record.resultCount()}}});
}

// Caches the record as read after the time given and returns it, or a newer one that was read
// meanwhile. Unavailable if it shows less than this instance had read before it asked.
Result<std::shared_ptr<const JobRecord>> JobService::takeRead(JobRecord read, SteadyTime asked)
{
    const auto found = m_recordCache.find(read.id);
    if (found == m_recordCache.end() || found->second.record->resultCount() <= read.resultCount()) {
        auto record = std::make_shared<const JobRecord>(std::move(read));
        cacheRecord(record);
        return record;
    }
    if (found->second.read >= asked)
        return found->second.record;
    m_dependencies.log.warning("job_read_older",
                               {{"job", read.id},
                                {"results", std::uint64_t{read.resultCount()}},
                                {"shown", std::uint64_t{found->second.record->resultCount()}}});
    return Error{ErrorCode::Unavailable, "the job was read in an older state"};
}

// NotFound also for a job of another organisation. A cached record of a closed job is always valid.
asio::awaitable<Result<std::shared_ptr<const JobRecord>>>
JobService::findRecord(std::string id, std::string organisation, RecordAge age)
{
    const Error unknown{ErrorCode::NotFound, "no job '" + id + "'"};
    std::shared_ptr<const JobRecord> record;
    const auto found = m_recordCache.find(id);
    if (found != m_recordCache.end())
        record = found->second.record;
    if (!record || (age == RecordAge::Newest && record->isOpen())) {
        std::string owner = m_ownerReader.ownerOf(id);
        if (owner.empty() && record)
            owner = record->owner;
        const auto asked = m_dependencies.clock.now();
        auto read = co_await readNewest(id, std::move(owner));
        if (!isOk(read))
            co_return errorOf(read).code == ErrorCode::NotFound ? unknown : errorOf(read);
        auto taken = takeRead(valueOf(std::move(read)), asked);
        if (!isOk(taken))
            co_return errorOf(taken);
        record = valueOf(std::move(taken));
    }
    if (record->organisation != organisation)
        co_return unknown;
    co_return record;
}

asio::awaitable<void> JobService::readResults(ServerExchange &exchange, ResultsCall call,
                                              std::string organisation)
{
    const auto begin = m_dependencies.clock.now();
    const auto waitUntil = begin + call.wait;
    for (;;) {
        auto record = co_await findRecord(call.jobId, organisation, RecordAge::Newest);
        if (!isOk(record) && errorOf(record).code == ErrorCode::NotFound) {
            m_dependencies.log.warning("job_unknown",
                                       {{"job", call.jobId}, {"organisation", organisation}});
            const Error unknown = errorOf(record);
            ErrorAnswer answer = makeErrorAnswer(unknown, RunState::NotRun);
            co_await exchange.respond(std::move(answer));
            co_return;
        }
        if (!isOk(record)) {
            co_await respondUnavailable(exchange, "results", call.jobId, errorOf(record));
            co_return;
        }
        const JobRecord &job = *valueOf(record);
        const auto now = m_dependencies.clock.now();
        if (call.position >= job.results.size() && job.isOpen() && now < waitUntil) {
            const auto left = std::chrono::ceil<milliseconds>(waitUntil - now);
            co_await sleepFor(std::min(left, ResultPollInterval));
            continue;
        }
        std::vector<JobResult> results;
        std::size_t size = 0;
        for (std::size_t index = call.position; index < job.results.size(); ++index) {
            size += job.results[index].output.size();
            if (!results.empty() && size > MaxReadBytes)
                break;
            results.push_back(job.results[index]);
        }
        const std::size_t next = call.position + results.size();
        std::string body = m_dependencies.protocol.encodeResults(job.itemCount, next, results);
        HttpHeaders headers = jsonHeaders();
        co_await exchange.respond(200, std::move(headers), std::move(body));
        co_return;
    }
}

asio::awaitable<void> JobService::readBody(ServerExchange &exchange, ItemBodyCall call,
                                           std::string organisation)
{
    auto record = co_await findRecord(call.jobId, organisation, RecordAge::Any);
    Result<std::vector<JobItem>> items = Error{ErrorCode::NotFound, "no job '" + call.jobId + "'"};
    if (isOk(record)) {
        const auto owned = m_runner.find(call.jobId);
        if (owned) {
            items = owned->items;
        } else {
            JobRecord source = *valueOf(record);
            items = co_await m_store.readItems(std::move(source));
        }
    } else {
        items = errorOf(record);
    }
    if (!isOk(items) && errorOf(items).code != ErrorCode::NotFound) {
        co_await respondUnavailable(exchange, "body", call.jobId, errorOf(items));
        co_return;
    }
    if (isOk(items)) {
        for (JobItem &item : valueOf(items)) {
            if (item.id != call.itemId)
                continue;
            HttpHeaders headers{{"Content-Type", "application/octet-stream"}};
            co_await exchange.respond(200, std::move(headers), std::move(item.body));
            co_return;
        }
    }
    m_dependencies.log.warning("item_unknown", {{"job", call.jobId}, {"item", call.itemId}});
    const Error unknown{ErrorCode::NotFound, "no item '" + call.itemId + "'"};
    ErrorAnswer answer = makeErrorAnswer(unknown, RunState::NotRun);
    co_await exchange.respond(std::move(answer));
}

asio::awaitable<void> JobService::end(ServerExchange &exchange, EndJobCall call,
                                      std::string organisation)
{
    const auto deadline = m_dependencies.clock.now() + CallTimeout;
    WriteOutcome outcome;
    if (m_uncertainEnds.mayBeApplied(call.jobId, m_dependencies.clock.now()))
        outcome.recordEarlierWriter();
    for (int attempt = 0; attempt < MaxEndAttempts; ++attempt) {
        if (attempt > 0 && m_dependencies.clock.now() >= deadline)
            break;
        const EndState state = co_await tryToEnd(call.jobId, organisation, outcome);
        if (state == EndState::Ended) {
            m_dependencies.log.info("job_ended", {{"job", call.jobId}, {"tries", attempt + 1}});
            co_await respondEnded(exchange, call.jobId);
            co_return;
        }
        if (state == EndState::NoSuchJob) {
            const Error unknown{ErrorCode::NotFound, "no job '" + call.jobId + "'"};
            ErrorAnswer answer = makeErrorAnswer(
                    unknown, outcome.isUnknown() ? RunState::Unknown : RunState::NotRun);
            co_await exchange.respond(std::move(answer));
            co_return;
        }
        co_await sleepFor(EndRetryDelay);
    }
    if (outcome.isUnknown())
        co_await respondUncertain(exchange, "end", call.jobId, outcome.failure().message);
    else
        co_await respondUnavailable(exchange, "end", call.jobId, outcome.failure());
}

asio::awaitable<void> JobService::respondEnded(ServerExchange &exchange, std::string id)
{
    m_uncertainEnds.settle(id);
    m_recordCache.erase(id);
    m_runner.jobEnded(id);
    m_endNotifier(id);
    HttpHeaders headers = jsonHeaders();
    std::string body = "{}";
    co_await exchange.respond(200, std::move(headers), std::move(body));
}

// One attempt. An end that an earlier attempt has written counts as this one's.
asio::awaitable<JobService::EndState> JobService::tryToEnd(std::string id, std::string organisation,
                                                           WriteOutcome &outcome)
{
    std::string asked = id;
    auto read = co_await m_store.read(std::move(asked));
    if (!isOk(read) && errorOf(read).code == ErrorCode::NotFound)
        co_return EndState::NoSuchJob;
    if (!isOk(read)) {
        // Nothing was written by this attempt.
        outcome.recordFailure({ErrorCode::Unavailable, errorOf(read).message});
        co_return EndState::Open;
    }
    JobRecord record = valueOf(std::move(read));
    if (record.organisation != organisation)
        co_return EndState::NoSuchJob;
    if (!record.isOpen())
        co_return EndState::Ended;
    record.hasEnded = true;
    const auto written = co_await m_store.write(std::move(record));
    if (isOk(written))
        co_return EndState::Ended;
    const Error &error = errorOf(written);
    outcome.recordFailure(error);
    if (mayBeApplied(error))
        m_uncertainEnds.record(id, m_dependencies.clock.now());
    m_dependencies.log.warning("job_end_failed",
                               {{"job", id},
                                {"may_be_applied", mayBeApplied(error) ? "yes" : "no"},
                                {"reason", error.message}});
    co_return EndState::Open;
}

} // namespace pistachiofall
