#include "serving/kindfollower.h"

#include "wire/sleep.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// A watch costs one call however long it waits; a broken connection shows by its keep-alive probes.
// Below the time for which the store keeps changes, else a watch without changes ends with a
// listing.
constexpr milliseconds WatchTime{15000};
constexpr milliseconds FirstPause{50};
constexpr milliseconds LongestPause{400};
constexpr int MostDoublings = 3;
// After a failure the store's answer is wanted at once.
constexpr milliseconds WatchTimeAfterFailure{50};
// An answer that took longer than the others is no outage yet.
constexpr milliseconds ShortestOutage{1000};

} // namespace

KindFollower::KindFollower(const Clock &clock, DecisionLog &log, std::shared_ptr<ObjectSpace> space,
                           std::string kind, Callbacks callbacks)
    : m_clock(clock)
    , m_log(log)
    , m_space(std::move(space))
    , m_kind(std::move(kind))
    , m_callbacks(std::move(callbacks))
    , m_lastAnswer(clock.now())
{ }

SteadyTime KindFollower::lastContact() const
{
    return m_isWatching && m_failures == 0 ? m_clock.now() : m_lastAnswer;
}

asio::awaitable<void> KindFollower::run()
{
    for (;;) {
        if (m_isListDue)
            co_await listAll();
        else
            co_await watchOnce();
    }
}

void KindFollower::noteAnswer()
{
    const auto now = m_clock.now();
    const auto outage = std::chrono::duration_cast<milliseconds>(now - m_lastAnswer);
    const bool wasAway = m_failures > 0;
    m_failures = 0;
    m_lastAnswer = now;
    if (!wasAway)
        return;
    m_log.info("store_regained", {{"kind", m_kind}, {"outage_ms", std::int64_t{outage.count()}}});
    if (outage >= ShortestOutage)
        m_callbacks.contactRegained(outage);
}

asio::awaitable<void> KindFollower::takeFailure(Error error, std::string_view call)
{
    if (m_failures == 0) {
        // The time without contact counts from here: until now the watch stood.
        if (m_isWatching)
            m_lastAnswer = m_clock.now();
        m_log.warning("store_lost", {{"kind", m_kind}, {"call", call}, {"reason", error.message}});
    }
    const auto pause =
            FirstPause * (1U << static_cast<unsigned>(std::min(m_failures, MostDoublings)));
    ++m_failures;
    co_await sleepFor(std::min<milliseconds>(pause, LongestPause));
}

asio::awaitable<void> KindFollower::listAll()
{
    std::vector<SpaceObject> objects;
    std::uint64_t revision = 0;
    std::string after;
    for (;;) {
        std::string from = after;
        auto page = co_await m_space->list(m_kind, std::move(from), Freshness::Newest);
        if (!isOk(page)) {
            Error error = errorOf(page);
            co_await takeFailure(std::move(error), "list");
            co_return;
        }
        // Changes between two pages are seen again by the watch from the first one.
        if (revision == 0)
            revision = valueOf(page).revision;
        const bool hasMore = valueOf(page).hasMore && !valueOf(page).objects.empty();
        for (SpaceObject &object : valueOf(page).objects)
            objects.push_back(std::move(object));
        if (!hasMore)
            break;
        after = objects.back().name;
    }
    noteAnswer();
    m_revision = revision;
    m_hasListed = true;
    m_isListDue = false;
    m_callbacks.listed(objects);
}

asio::awaitable<void> KindFollower::watchOnce()
{
    m_isWatching = true;
    const milliseconds wait = m_failures > 0 ? WatchTimeAfterFailure : WatchTime;
    const auto changes = co_await m_space->watch(m_kind, m_revision, wait);
    if (!isOk(changes)) {
        Error error = errorOf(changes);
        if (error.code == ErrorCode::NotFound) {
            m_log.info("store_history_gone", {{"kind", m_kind}, {"revision", m_revision}});
            m_isListDue = true;
            m_isWatching = false;
            co_return;
        }
        co_await takeFailure(std::move(error), "watch");
        m_isWatching = false;
        co_return;
    }
    noteAnswer();
    for (const SpaceEvent &event : valueOf(changes).events)
        m_callbacks.changed(event);
    m_revision = std::max(m_revision, valueOf(changes).revision);
    if (!valueOf(changes).events.empty())
        co_await sleepFor(m_callbacks.gatherTime());
    m_isWatching = false;
}

} // namespace pistachiofall
