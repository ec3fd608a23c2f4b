#include "serving/jobstore.h"

#include "serving/jobformat.h"
#include "wire/sleep.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr const char *JobKind = "pistachiofall-jobs";
constexpr const char *ItemsKind = "pistachiofall-items";
constexpr const char *ResultsKind = "pistachiofall-results";
constexpr milliseconds RetryPause{50};
// What an object may hold besides what is counted: names and punctuation.
constexpr double PartOfObject = 2.0 / 3;
// Parts that are kept for callers who read a job piece by piece.
constexpr std::size_t MostKeptParts = 16;

std::string partName(const std::string &id, std::size_t part)
{
    return id + '.' + std::to_string(part);
}

// Whether the store has certainly not done what it was asked.
bool isNotDone(const Error &error)
{
    return error.code == ErrorCode::Unavailable || error.code == ErrorCode::RateLimited
            || error.code == ErrorCode::InvalidArgument;
}

// How many of the results the job's object and the parts before it can hold. One that is too large
// by itself is tried all the same.
std::size_t fittingResults(const JobHead &head, std::size_t maxBytes)
{
    const std::size_t inParts = head.resultsInParts() - head.missingResults;
    std::size_t count = inParts;
    std::size_t size = 0;
    while (count < head.results.size()) {
        size += encodedSize(head.results[count]);
        if (size > maxBytes && count > inParts)
            break;
        ++count;
    }
    return std::max(count, head.storedResults - head.missingResults);
}

} // namespace

JobStore::JobStore(const Clock &clock, DecisionLog &log, std::shared_ptr<ObjectSpace> space,
                   std::size_t maxObjectBytes)
    : m_clock(clock)
    , m_log(log)
    , m_space(std::move(space))
    , m_maxPartBytes(static_cast<std::size_t>(static_cast<double>(maxObjectBytes) * PartOfObject))
{ }

void JobStore::noteAnswer(bool isAnswered)
{
    if (isAnswered)
        m_lastAnswer = m_clock.now();
}

JobStore::Async<Done> JobStore::createItems(std::string id, std::vector<boost::json::value> parts,
                                            SteadyTime deadline)
{
    for (std::size_t part = 0; part < parts.size();) {
        SpaceObject object;
        object.name = partName(id, part);
        object.spec = parts[part];
        const auto created = co_await m_space->create(ItemsKind, std::move(object));
        // One that exists is of the same job, which came before, or whose answer was lost.
        if (isOk(created) || errorOf(created).code == ErrorCode::AlreadyExists) {
            ++part;
            continue;
        }
        if (isNotDone(errorOf(created)) || m_clock.now() >= deadline)
            co_return errorOf(created);
        co_await sleepFor(RetryPause);
    }
    co_return Done{};
}

JobStore::Async<JobHead> JobStore::create(JobHead head, std::vector<JobItem> items,
                                          SteadyTime deadline)
{
    auto parts = encodeJobItems(items, m_maxPartBytes);
    head.partCount = parts.size();
    head.revision = 0;
    const auto stored = co_await createItems(head.id, std::move(parts), deadline);
    // Without its head there is no job, whatever became of the items.
    if (!isOk(stored))
        co_return Error{ErrorCode::Unavailable, errorOf(stored).message};
    bool mayExist = false;
    Error last{ErrorCode::Unavailable, "no time left"};
    while (m_clock.now() < deadline) {
        SpaceObject object = encodeJobHead(head);
        const auto created = co_await m_space->create(JobKind, std::move(object));
        if (isOk(created)) {
            noteAnswer(true);
            head.revision = valueOf(created).revision;
            co_return head;
        }
        last = errorOf(created);
        if (last.code == ErrorCode::AlreadyExists) {
            noteAnswer(true);
            co_return last;
        }
        if (isNotDone(last) && !mayExist)
            co_return Error{ErrorCode::Unavailable, last.message};
        mayExist = true;
        m_log.warning("job_store_uncertain", {{"job", head.id}, {"reason", last.message}});
        co_await sleepFor(RetryPause);
    }
    last.code = mayExist ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
    co_return last;
}

JobStore::Async<JobHead> JobStore::read(std::string id)
{
    const auto object = co_await m_space->get(JobKind, std::move(id));
    noteAnswer(isOk(object) || errorOf(object).code == ErrorCode::NotFound);
    if (!isOk(object))
        co_return errorOf(object);
    Result<JobHead> head = decodeJobHead(valueOf(object));
    if (!isOk(head) || valueOf(head).missingResults == 0)
        co_return head;
    JobHead incomplete = valueOf(std::move(head));
    co_return co_await completeResults(std::move(incomplete));
}

JobStore::Async<std::vector<JobResult>> JobStore::readPart(std::string name)
{
    const auto known = m_parts.find(name);
    if (known != m_parts.end())
        co_return known->second;
    std::string asked = name;
    const auto object = co_await m_space->get(ResultsKind, std::move(asked));
    if (!isOk(object))
        co_return errorOf(object);
    auto results = decodeJobResults(valueOf(object).spec);
    if (!isOk(results))
        co_return errorOf(results);
    if (m_parts.emplace(name, valueOf(results)).second)
        m_partOrder.push_back(name);
    if (m_partOrder.size() > MostKeptParts) {
        m_parts.erase(m_partOrder.front());
        m_partOrder.pop_front();
    }
    co_return results;
}

JobStore::Async<JobHead> JobStore::completeResults(JobHead head)
{
    if (head.missingResults == 0)
        co_return head;
    std::vector<JobResult> all;
    for (std::size_t part = 0; part < head.resultParts.size(); ++part) {
        std::string name = partName(head.id, part);
        auto results = co_await readPart(std::move(name));
        if (!isOk(results))
            co_return errorOf(results);
        if (valueOf(results).size() != head.resultParts[part])
            co_return Error{ErrorCode::ProtocolError,
                            "the results of job '" + head.id + "' in part " + std::to_string(part)
                                    + " are not as many as the job says"};
        for (JobResult &result : valueOf(results))
            all.push_back(std::move(result));
    }
    for (JobResult &result : head.results)
        all.push_back(std::move(result));
    head.results = std::move(all);
    head.missingResults = 0;
    co_return head;
}

// Moves the stored results that lie in the job's object to one of their own. The head names it
// then; that is not stored yet.
JobStore::Async<JobHead> JobStore::moveResults(JobHead head)
{
    const auto begin = static_cast<std::ptrdiff_t>(head.resultsInParts() - head.missingResults);
    const auto end = static_cast<std::ptrdiff_t>(head.storedResults - head.missingResults);
    const std::vector<JobResult> moved(head.results.begin() + begin, head.results.begin() + end);
    const std::string name = partName(head.id, head.resultParts.size());
    SpaceObject object;
    object.name = name;
    object.spec = encodeJobResults(moved);
    const auto created = co_await m_space->create(ResultsKind, std::move(object));
    std::size_t count = moved.size();
    if (!isOk(created) && errorOf(created).code != ErrorCode::AlreadyExists)
        co_return errorOf(created);
    if (!isOk(created)) {
        std::string asked = name;
        const auto present = co_await readPart(std::move(asked));
        if (!isOk(present))
            co_return errorOf(present);
        count = valueOf(present).size();
        if (count > moved.size())
            co_return Error{ErrorCode::Conflict, "another owner has stored more results"};
    }
    m_log.info("results_moved",
               {{"job", head.id},
                {"part", std::uint64_t{head.resultParts.size()}},
                {"results", std::uint64_t{count}}});
    head.resultParts.push_back(count);
    co_return head;
}

JobStore::Async<std::vector<JobItem>> JobStore::readItems(JobHead head)
{
    std::vector<JobItem> items;
    for (std::size_t part = 0; part < head.partCount; ++part) {
        std::string name = partName(head.id, part);
        const auto object = co_await m_space->get(ItemsKind, std::move(name));
        if (!isOk(object))
            co_return errorOf(object);
        const auto decoded = decodeJobItems(valueOf(object).spec, items);
        if (!isOk(decoded))
            co_return errorOf(decoded);
    }
    noteAnswer(true);
    co_return items;
}

JobStore::Async<JobHead> JobStore::write(JobHead head)
{
    std::size_t fitting = fittingResults(head, m_maxPartBytes);
    if (fitting < head.results.size() && head.storedResults > head.resultsInParts()) {
        auto moved = co_await moveResults(std::move(head));
        if (!isOk(moved))
            co_return errorOf(moved);
        head = valueOf(std::move(moved));
        fitting = fittingResults(head, m_maxPartBytes);
    }
    head.results.resize(fitting);
    SpaceObject object = encodeJobHead(head);
    const auto written = co_await m_space->replaceStatus(JobKind, std::move(object));
    noteAnswer(isOk(written) || errorOf(written).code == ErrorCode::Conflict);
    if (!isOk(written))
        co_return errorOf(written);
    head.revision = valueOf(written).revision;
    head.storedResults = head.resultCount();
    co_return head;
}

JobStore::Async<std::vector<JobHead>> JobStore::listOpen()
{
    std::vector<JobHead> open;
    std::string after;
    for (;;) {
        std::string from = after;
        const auto page = co_await m_space->list(JobKind, std::move(from), Freshness::MayBeStale);
        noteAnswer(isOk(page));
        if (!isOk(page))
            co_return errorOf(page);
        for (const SpaceObject &object : valueOf(page).objects) {
            auto head = decodeJobHead(object);
            if (!isOk(head)) {
                m_log.warning("job_unreadable",
                              {{"object", object.name}, {"reason", errorOf(head).message}});
                continue;
            }
            if (valueOf(head).isOpen())
                open.push_back(valueOf(std::move(head)));
        }
        if (!valueOf(page).hasMore || valueOf(page).objects.empty())
            co_return open;
        after = valueOf(page).objects.back().name;
    }
}

} // namespace pistachiofall
