#include "serving/jobstore.h"

#include "serving/jobformat.h"
#include "store/writeoutcome.h"
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
constexpr milliseconds RetryDelay{50};
// The share of the maximum object size that counted content may use. The rest is for field names
// and punctuation, which are not counted.
constexpr double MaxPayloadFraction = 2.0 / 3;
// Parts cached for callers that read a job's results in several calls.
constexpr std::size_t MaxCachedParts = 16;

std::string partName(const std::string &id, std::size_t part)
{
    return id + '.' + std::to_string(part);
}

// Returns how many of the record's results fit, those in parts included. At least one result is put
// into the job object, even if it exceeds the limit by itself, and stored results always count.
std::size_t countFittingResults(const JobRecord &record, std::size_t maxBytes)
{
    const std::size_t inParts = record.resultsInParts() - record.missingResults;
    std::size_t count = inParts;
    std::size_t size = encodedSize(record.failures);
    while (count < record.results.size()) {
        size += encodedSize(record.results[count]);
        if (size > maxBytes && count > inParts)
            break;
        ++count;
    }
    return std::max(count, record.storedResults - record.missingResults);
}

} // namespace

JobStore::JobStore(const Clock &clock, DecisionLog &log, std::shared_ptr<ObjectSpace> space,
                   std::size_t maxObjectBytes)
    : m_clock(clock)
    , m_log(log)
    , m_space(std::move(space))
    , m_maxPartBytes(
              static_cast<std::size_t>(static_cast<double>(maxObjectBytes) * MaxPayloadFraction))
{ }

void JobStore::noteResponse(bool hasResponse)
{
    if (hasResponse)
        m_lastResponse = m_clock.now();
}

JobStore::Async<JobStore::ItemsWriter>
JobStore::createItems(std::string id, std::vector<boost::json::value> parts, SteadyTime deadline)
{
    ItemsWriter writer = ItemsWriter::ThisCall;
    for (std::size_t part = 0; part < parts.size(); ++part) {
        SpaceObject object;
        object.name = partName(id, part);
        object.spec = std::move(parts[part]);
        const auto created = co_await createItemsPart(std::move(object), deadline, writer);
        if (!isOk(created) && writer == ItemsWriter::ThisCall)
            co_return Error{ErrorCode::Unavailable, errorOf(created).message};
        if (!isOk(created))
            co_return Error{ErrorCode::OutcomeUnknown, errorOf(created).message};
    }
    co_return writer;
}

// Sets the writer if an earlier submission has stored the part.
JobStore::Async<Done> JobStore::createItemsPart(SpaceObject object, SteadyTime deadline,
                                                ItemsWriter &writer)
{
    WriteOutcome outcome;
    for (;;) {
        SpaceObject sent = object;
        const auto created = co_await m_space->create(ItemsKind, std::move(sent));
        if (isOk(created))
            co_return Done{};
        const Error error = errorOf(created);
        if (error.code == ErrorCode::AlreadyExists) {
            if (!outcome.isUnknown())
                writer = ItemsWriter::Earlier;
            co_return Done{};
        }
        outcome.recordFailure(error);
        if (!mayBeApplied(error) || m_clock.now() >= deadline)
            co_return error;
        co_await sleepFor(RetryDelay);
    }
}

JobStore::Async<JobRecord> JobStore::create(JobRecord record, std::vector<JobItem> items,
                                            SteadyTime deadline)
{
    auto parts = encodeJobItems(items, m_maxPartBytes);
    record.partCount = parts.size();
    record.revision = 0;
    const auto stored = co_await createItems(record.id, std::move(parts), deadline);
    // Without its job object the job does not exist, even if some items were written.
    if (!isOk(stored))
        co_return errorOf(stored);
    WriteOutcome outcome;
    outcome.recordFailure({ErrorCode::Unavailable, "the deadline has passed"});
    if (valueOf(stored) == ItemsWriter::Earlier)
        outcome.recordEarlierWriter();
    while (m_clock.now() < deadline) {
        SpaceObject object = encodeJobRecord(record);
        const auto created = co_await m_space->create(JobKind, std::move(object));
        if (isOk(created)) {
            noteResponse(true);
            record.revision = valueOf(created).revision;
            co_return record;
        }
        const Error error = errorOf(created);
        if (error.code == ErrorCode::AlreadyExists) {
            noteResponse(true);
            co_return error;
        }
        outcome.recordFailure(error);
        if (!outcome.isUnknown())
            break;
        m_log.warning("job_store_uncertain", {{"job", record.id}, {"reason", error.message}});
        co_await sleepFor(RetryDelay);
    }
    co_return outcome.failure();
}

JobStore::Async<JobRecord> JobStore::read(std::string id)
{
    const auto object = co_await m_space->get(JobKind, std::move(id));
    noteResponse(isOk(object) || errorOf(object).code == ErrorCode::NotFound);
    if (!isOk(object))
        co_return errorOf(object);
    Result<JobRecord> record = decodeJobRecord(valueOf(object));
    if (!isOk(record) || valueOf(record).missingResults == 0)
        co_return record;
    JobRecord incomplete = valueOf(std::move(record));
    co_return co_await completeResults(std::move(incomplete));
}

JobStore::Async<std::vector<JobResult>> JobStore::readPart(std::string name)
{
    const auto known = m_cachedParts.find(name);
    if (known != m_cachedParts.end())
        co_return known->second;
    std::string asked = name;
    const auto object = co_await m_space->get(ResultsKind, std::move(asked));
    if (!isOk(object))
        co_return errorOf(object);
    auto results = decodeJobResults(valueOf(object).spec);
    if (!isOk(results))
        co_return errorOf(results);
    if (m_cachedParts.emplace(name, valueOf(results)).second)
        m_cachedPartOrder.push_back(name);
    if (m_cachedPartOrder.size() > MaxCachedParts) {
        m_cachedParts.erase(m_cachedPartOrder.front());
        m_cachedPartOrder.pop_front();
    }
    co_return results;
}

JobStore::Async<JobRecord> JobStore::completeResults(JobRecord record)
{
    if (record.missingResults == 0)
        co_return record;
    std::vector<JobResult> all;
    for (std::size_t part = 0; part < record.resultParts.size(); ++part) {
        std::string name = partName(record.id, part);
        auto results = co_await readPart(std::move(name));
        if (!isOk(results))
            co_return errorOf(results);
        if (valueOf(results).size() != record.resultParts[part])
            co_return Error{ErrorCode::ProtocolError,
                            "the number of results of job '" + record.id + "' in part "
                                    + std::to_string(part) + " does not match the job"};
        for (JobResult &result : valueOf(results))
            all.push_back(std::move(result));
    }
    for (JobResult &result : record.results)
        all.push_back(std::move(result));
    record.results = std::move(all);
    record.missingResults = 0;
    co_return record;
}

// Moves the stored results in the job object to a new part. The returned record refers to the part;
// the job object in the store does not yet.
JobStore::Async<JobRecord> JobStore::moveResults(JobRecord record)
{
    const auto begin = static_cast<std::ptrdiff_t>(record.resultsInParts() - record.missingResults);
    const auto end = static_cast<std::ptrdiff_t>(record.storedResults - record.missingResults);
    const std::vector<JobResult> moved(record.results.begin() + begin,
                                       record.results.begin() + end);
    const std::string name = partName(record.id, record.resultParts.size());
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
               {{"job", record.id},
                {"part", std::uint64_t{record.resultParts.size()}},
                {"results", std::uint64_t{count}}});
    record.resultParts.push_back(count);
    co_return record;
}

JobStore::Async<std::vector<JobItem>> JobStore::readItems(JobRecord record)
{
    std::vector<JobItem> items;
    for (std::size_t part = 0; part < record.partCount; ++part) {
        std::string name = partName(record.id, part);
        const auto object = co_await m_space->get(ItemsKind, std::move(name));
        if (!isOk(object))
            co_return errorOf(object);
        const auto decoded = decodeJobItems(valueOf(object).spec, items);
        if (!isOk(decoded))
            co_return errorOf(decoded);
    }
    noteResponse(true);
    co_return items;
}

JobStore::Async<JobRecord> JobStore::write(JobRecord record)
{
    std::size_t fitting = countFittingResults(record, m_maxPartBytes);
    if (fitting < record.results.size() && record.storedResults > record.resultsInParts()) {
        auto moved = co_await moveResults(std::move(record));
        if (!isOk(moved))
            co_return errorOf(moved);
        record = valueOf(std::move(moved));
        fitting = countFittingResults(record, m_maxPartBytes);
    }
    record.results.resize(fitting);
    SpaceObject object = encodeJobRecord(record);
    const auto written = co_await m_space->replaceStatus(JobKind, std::move(object));
    noteResponse(isOk(written) || errorOf(written).code == ErrorCode::Conflict);
    if (!isOk(written))
        co_return errorOf(written);
    record.revision = valueOf(written).revision;
    record.storedResults = record.resultCount();
    co_return record;
}

JobStore::Async<std::vector<JobRecord>> JobStore::listOpen()
{
    std::vector<JobRecord> open;
    std::string after;
    for (;;) {
        std::string from = after;
        const auto page = co_await m_space->list(JobKind, std::move(from), Freshness::MayBeStale);
        noteResponse(isOk(page));
        if (!isOk(page))
            co_return errorOf(page);
        for (const SpaceObject &object : valueOf(page).objects) {
            auto record = decodeJobRecord(object);
            if (!isOk(record)) {
                m_log.warning("job_unreadable",
                              {{"object", object.name}, {"reason", errorOf(record).message}});
                continue;
            }
            if (valueOf(record).isOpen())
                open.push_back(valueOf(std::move(record)));
        }
        if (!valueOf(page).hasMore || valueOf(page).objects.empty())
            co_return open;
        after = valueOf(page).objects.back().name;
    }
}

} // namespace pistachiofall
