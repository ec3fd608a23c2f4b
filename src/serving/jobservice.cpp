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
// A read of one job by several callers, or twice in a row, is one call to the store.
constexpr milliseconds HeadLife{250};
// How long a read without results waits before it looks again.
constexpr milliseconds ResultPause{700};
constexpr milliseconds RetryAfter{300};
// The store decides by then; the caller tries again with the time that is left.
constexpr milliseconds SubmitTime{2500};
constexpr std::size_t MaxKnownHeads = 256;
constexpr int MostEndTries = 6;
constexpr milliseconds EndRetryPause{50};

HttpHeaders jsonHeaders()
{
    return {{"Content-Type", "application/json"}};
}

} // namespace

JobService::JobService(ServingParts parts, JobStore &store, JobRunner &runner,
                       OnlineService &online, EndNotice endNotice, OwnerRead ownerRead)
    : m_parts(std::move(parts))
    , m_store(store)
    , m_runner(runner)
    , m_online(online)
    , m_endNotice(std::move(endNotice))
    , m_ownerRead(std::move(ownerRead))
{ }

asio::awaitable<void> JobService::answerUnavailable(ServerExchange &exchange, std::string_view call,
                                                    std::string id, Error error)
{
    m_parts.metrics.counter("job_calls_failed_total", {{"call", std::string(call)}}).add();
    m_parts.log.warning("job_call_failed",
                        {{"call", call}, {"job", id}, {"reason", error.message}});
    const Error unavailable{ErrorCode::Unavailable, "the store did not answer: " + error.message};
    co_await m_online.refuse(exchange, unavailable, RetryAfter);
}

asio::awaitable<void> JobService::submit(ServerExchange &exchange, OnlineRequest request)
{
    auto items = m_parts.protocol.decodeJob(request.body);
    const std::string id = request.head.requestId;
    if (!isOk(items) || valueOf(items).size() > MaxItems || id.empty()) {
        const Error error = isOk(items)
                ? Error{ErrorCode::InvalidArgument, "a job has an id and 1 to 200 items"}
                : errorOf(items);
        m_parts.log.warning("job_refused", {{"job", id}, {"reason", error.message}});
        ErrorAnswer answer = makeErrorAnswer(error, RunState::NotRun);
        co_await exchange.respond(std::move(answer));
        co_return;
    }
    JobHead head;
    head.id = id;
    head.organisation = request.organisation;
    head.host = request.head.host;
    head.pathPrefix = request.route->pathPrefix;
    head.itemCount = valueOf(items).size();
    head.submitted = m_parts.clock.wallNow();
    head.dueAfter = request.route->dueAfter;
    head.retention = request.route->retention;
    head.owner = m_runner.owner();
    std::vector<JobItem> copies = valueOf(items);
    const auto deadline = std::min(request.deadline, request.arrival + SubmitTime);
    auto stored = co_await m_store.create(std::move(head), std::move(copies), deadline);
    if (isOk(stored)) {
        m_parts.log.info("job_accepted",
                         {{"job", id},
                          {"organisation", request.organisation},
                          {"items", std::uint64_t{valueOf(items).size()}}});
        m_parts.metrics.counter("jobs_accepted_total").add();
        m_runner.add(valueOf(std::move(stored)), valueOf(std::move(items)));
        HttpHeaders headers = jsonHeaders();
        std::string body = "{}";
        co_await exchange.respond(202, std::move(headers), std::move(body));
        co_return;
    }
    const Error error = errorOf(stored);
    if (error.code == ErrorCode::AlreadyExists) {
        co_await answerExisting(exchange, std::move(request), valueOf(std::move(items)));
        co_return;
    }
    if (error.code == ErrorCode::Unavailable) {
        co_await answerUnavailable(exchange, "submit", id, error);
        co_return;
    }
    m_runner.lookUp(id);
    m_parts.log.warning("job_uncertain", {{"job", id}, {"reason", error.message}});
    const Error uncertain{ErrorCode::TimedOut, "the job may have been stored; send it again"};
    ErrorAnswer answer = makeErrorAnswer(uncertain, RunState::Unknown);
    co_await exchange.respond(std::move(answer));
}

// The same job came before, here or at another instance.
asio::awaitable<void> JobService::answerExisting(ServerExchange &exchange, OnlineRequest request,
                                                 std::vector<JobItem> items)
{
    std::string id = request.head.requestId;
    auto head = co_await m_store.read(std::move(id));
    if (!isOk(head)) {
        // It exists, so a refusal would be untrue; the caller sends it again.
        const Error uncertain{ErrorCode::TimedOut, errorOf(head).message};
        ErrorAnswer answer = makeErrorAnswer(uncertain, RunState::Unknown);
        co_await exchange.respond(std::move(answer));
        co_return;
    }
    if (valueOf(head).organisation != request.organisation) {
        const Error taken{ErrorCode::InvalidArgument,
                          "job id '" + request.head.requestId + "' is another organisation's"};
        ErrorAnswer answer = makeErrorAnswer(taken, RunState::NotRun);
        co_await exchange.respond(std::move(answer));
        co_return;
    }
    m_parts.log.info("job_repeated",
                     {{"job", request.head.requestId},
                      {"owner", valueOf(head).owner},
                      {"revision", valueOf(head).revision}});
    if (valueOf(head).owner == m_runner.owner() && valueOf(head).isOpen())
        m_runner.add(valueOf(std::move(head)), std::move(items));
    HttpHeaders headers = jsonHeaders();
    std::string body = "{}";
    co_await exchange.respond(202, std::move(headers), std::move(body));
}

void JobService::remember(std::shared_ptr<const JobHead> head)
{
    if (m_known.size() >= MaxKnownHeads) {
        const auto oldest = std::min_element(m_known.begin(), m_known.end(),
                                             [](const auto &left, const auto &right) {
                                                 return left.second.read < right.second.read;
                                             });
        m_known.erase(oldest);
    }
    const std::string id = head->id;
    m_known[id] = Known{std::move(head), m_parts.clock.now()};
}

// From this instance if it owns the job, else from the owner that is known, else from the store. An
// owner that answers saves the store a read of all results.
asio::awaitable<Result<JobHead>> JobService::readNewest(std::string id, std::string owner)
{
    std::string ownId = id;
    auto own = co_await m_runner.readableHead(std::move(ownId));
    if (own)
        co_return std::move(*own);
    if (!owner.empty() && owner != m_runner.owner()) {
        std::string askedId = id;
        auto answered = co_await m_ownerRead(std::move(owner), std::move(askedId));
        if (isOk(answered)) {
            JobHead incomplete = valueOf(std::move(answered));
            co_return co_await m_store.completeResults(std::move(incomplete));
        }
    }
    co_return co_await m_store.read(std::move(id));
}

// The job as of the time or later. NotFound also for a job of another organisation.
asio::awaitable<Result<std::shared_ptr<const JobHead>>>
JobService::headOf(std::string id, std::string organisation, SteadyTime asOf)
{
    const Error unknown{ErrorCode::NotFound, "no job '" + id + "'"};
    std::shared_ptr<const JobHead> head;
    const auto known = m_known.find(id);
    std::string owner;
    if (known != m_known.end()) {
        owner = known->second.head->owner;
        if (known->second.read >= asOf || !known->second.head->isOpen())
            head = known->second.head;
    }
    if (!head) {
        auto read = co_await readNewest(id, std::move(owner));
        if (!isOk(read))
            co_return errorOf(read).code == ErrorCode::NotFound ? unknown : errorOf(read);
        head = std::make_shared<const JobHead>(valueOf(std::move(read)));
        remember(head);
    }
    if (head->organisation != organisation)
        co_return unknown;
    co_return head;
}

asio::awaitable<void> JobService::readResults(ServerExchange &exchange, ResultsCall call,
                                              std::string organisation)
{
    const auto begin = m_parts.clock.now();
    const auto waitUntil = begin + call.wait;
    auto asOf = begin - HeadLife;
    for (;;) {
        auto head = co_await headOf(call.jobId, organisation, asOf);
        if (!isOk(head) && errorOf(head).code == ErrorCode::NotFound) {
            m_parts.log.warning("job_unknown",
                                {{"job", call.jobId}, {"organisation", organisation}});
            const Error unknown = errorOf(head);
            ErrorAnswer answer = makeErrorAnswer(unknown, RunState::NotRun);
            co_await exchange.respond(std::move(answer));
            co_return;
        }
        if (!isOk(head)) {
            co_await answerUnavailable(exchange, "results", call.jobId, errorOf(head));
            co_return;
        }
        const JobHead &job = *valueOf(head);
        const auto now = m_parts.clock.now();
        if (call.position >= job.results.size() && job.isOpen() && now < waitUntil) {
            const auto left = std::chrono::ceil<milliseconds>(waitUntil - now);
            co_await sleepFor(std::min(left, ResultPause));
            asOf = m_parts.clock.now() - HeadLife;
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
        std::string body = m_parts.protocol.encodeResults(job.itemCount, next, results);
        HttpHeaders headers = jsonHeaders();
        co_await exchange.respond(200, std::move(headers), std::move(body));
        co_return;
    }
}

asio::awaitable<void> JobService::readBody(ServerExchange &exchange, ItemBodyCall call,
                                           std::string organisation)
{
    const auto asOf = m_parts.clock.now() - HeadLife;
    auto head = co_await headOf(call.jobId, organisation, asOf);
    Result<std::vector<JobItem>> items = Error{ErrorCode::NotFound, "no job '" + call.jobId + "'"};
    if (isOk(head)) {
        const auto owned = m_runner.find(call.jobId);
        if (owned) {
            items = owned->items;
        } else {
            JobHead source = *valueOf(head);
            items = co_await m_store.readItems(std::move(source));
        }
    } else {
        items = errorOf(head);
    }
    if (!isOk(items) && errorOf(items).code != ErrorCode::NotFound) {
        co_await answerUnavailable(exchange, "body", call.jobId, errorOf(items));
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
    m_parts.log.warning("item_unknown", {{"job", call.jobId}, {"item", call.itemId}});
    const Error unknown{ErrorCode::NotFound, "no item '" + call.itemId + "'"};
    ErrorAnswer answer = makeErrorAnswer(unknown, RunState::NotRun);
    co_await exchange.respond(std::move(answer));
}

asio::awaitable<void> JobService::end(ServerExchange &exchange, EndJobCall call,
                                      std::string organisation)
{
    Error last;
    for (int tries = 0; tries < MostEndTries; ++tries) {
        std::string id = call.jobId;
        auto read = co_await m_store.read(std::move(id));
        if (isOk(read) && valueOf(read).organisation != organisation)
            read = Error{ErrorCode::NotFound, "no job '" + call.jobId + "'"};
        if (!isOk(read) && errorOf(read).code == ErrorCode::NotFound) {
            const Error unknown = errorOf(read);
            ErrorAnswer answer = makeErrorAnswer(unknown, RunState::NotRun);
            co_await exchange.respond(std::move(answer));
            co_return;
        }
        bool isEnded = false;
        if (isOk(read)) {
            JobHead head = valueOf(std::move(read));
            isEnded = !head.isOpen();
            if (!isEnded) {
                head.hasEnded = true;
                const auto written = co_await m_store.write(std::move(head));
                isEnded = isOk(written);
                if (!isEnded)
                    last = errorOf(written);
            }
        } else {
            last = errorOf(read);
        }
        if (isEnded) {
            m_parts.log.info("job_ended", {{"job", call.jobId}, {"tries", tries + 1}});
            m_known.erase(call.jobId);
            m_runner.jobEnded(call.jobId);
            m_endNotice(call.jobId);
            HttpHeaders headers = jsonHeaders();
            std::string body = "{}";
            co_await exchange.respond(200, std::move(headers), std::move(body));
            co_return;
        }
        co_await sleepFor(EndRetryPause);
    }
    co_await answerUnavailable(exchange, "end", call.jobId, last);
}

} // namespace pistachiofall
