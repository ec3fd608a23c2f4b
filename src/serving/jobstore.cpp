#include "serving/jobstore.h"

#include "serving/jobformat.h"
#include "wire/sleep.h"

#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr const char *JobKind = "pistachiofall-jobs";
constexpr const char *ItemsKind = "pistachiofall-items";
constexpr milliseconds RetryPause{50};

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

} // namespace

JobStore::JobStore(const Clock &clock, DecisionLog &log, std::shared_ptr<ObjectSpace> space)
    : m_clock(clock)
    , m_log(log)
    , m_space(std::move(space))
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
    auto parts = encodeJobItems(items);
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
    co_return decodeJobHead(valueOf(object));
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

JobStore::Async<std::uint64_t> JobStore::write(JobHead head)
{
    SpaceObject object = encodeJobHead(head);
    const auto written = co_await m_space->replaceStatus(JobKind, std::move(object));
    noteAnswer(isOk(written) || errorOf(written).code == ErrorCode::Conflict);
    if (!isOk(written))
        co_return errorOf(written);
    co_return valueOf(written).revision;
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
