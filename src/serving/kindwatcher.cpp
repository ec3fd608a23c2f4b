#include "serving/kindwatcher.h"

#include "wire/sleep.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// A watch is one call regardless of its duration, and keep-alive probes detect a broken connection.
// Must be less than the time for which the store keeps changes; otherwise a watch without changes
// is followed by a listing.
constexpr milliseconds WatchTimeout{15000};
constexpr milliseconds InitialBackoff{50};
constexpr milliseconds MaxBackoff{400};
constexpr int MaxBackoffDoublings = 3;
// After a failure a short watch shows quickly whether the store responds again.
constexpr milliseconds WatchTimeoutAfterFailure{50};
// A shorter gap is not an outage but a slow response.
constexpr milliseconds MinReportedOutage{1000};

} // namespace

KindWatcher::KindWatcher(const Clock &clock, DecisionLog &log, std::shared_ptr<ObjectSpace> space,
                         std::string kind, Callbacks callbacks)
    : m_clock(clock)
    , m_log(log)
    , m_space(std::move(space))
    , m_kind(std::move(kind))
    , m_callbacks(std::move(callbacks))
    , m_lastResponse(clock.now())
{ }

SteadyTime KindWatcher::lastContact() const
{
    return m_isWatching && m_failures == 0 ? m_clock.now() : m_lastResponse;
}

asio::awaitable<void> KindWatcher::run()
{
    for (;;) {
        if (m_needsListing)
            co_await listAll();
        else
            co_await watchOnce();
    }
}

void KindWatcher::noteResponse()
{
    const auto now = m_clock.now();
    const auto outage = std::chrono::duration_cast<milliseconds>(now - m_lastResponse);
    const bool hadFailed = m_failures > 0;
    m_failures = 0;
    m_lastResponse = now;
    if (!hadFailed)
        return;
    m_log.info("store_regained", {{"kind", m_kind}, {"outage_ms", std::int64_t{outage.count()}}});
    if (outage >= MinReportedOutage)
        m_callbacks.storeRecovered(outage);
}

asio::awaitable<void> KindWatcher::handleFailure(Error error, std::string_view call)
{
    if (m_failures == 0) {
        // The outage starts now: until this failure the watch was open.
        if (m_isWatching)
            m_lastResponse = m_clock.now();
        m_log.warning("store_lost", {{"kind", m_kind}, {"call", call}, {"reason", error.message}});
    }
    const auto backoff = InitialBackoff
            * (1U << static_cast<unsigned>(std::min(m_failures, MaxBackoffDoublings)));
    ++m_failures;
    co_await sleepFor(std::min<milliseconds>(backoff, MaxBackoff));
}

asio::awaitable<void> KindWatcher::listAll()
{
    std::vector<SpaceObject> objects;
    std::uint64_t revision = 0;
    std::string after;
    for (;;) {
        std::string from = after;
        auto page = co_await m_space->list(m_kind, std::move(from), Freshness::Newest);
        if (!isOk(page)) {
            Error error = errorOf(page);
            co_await handleFailure(std::move(error), "list");
            co_return;
        }
        // The watch starts at the revision of the first page, so that it reports changes made
        // while later pages were read.
        if (revision == 0)
            revision = valueOf(page).revision;
        const bool hasMore = valueOf(page).hasMore && !valueOf(page).objects.empty();
        for (SpaceObject &object : valueOf(page).objects)
            objects.push_back(std::move(object));
        if (!hasMore)
            break;
        after = objects.back().name;
    }
    noteResponse();
    m_revision = revision;
    m_hasListed = true;
    m_needsListing = false;
    m_callbacks.listed(objects);
}

asio::awaitable<void> KindWatcher::watchOnce()
{
    m_isWatching = true;
    const milliseconds wait = m_failures > 0 ? WatchTimeoutAfterFailure : WatchTimeout;
    const auto changes = co_await m_space->watch(m_kind, m_revision, wait);
    if (!isOk(changes)) {
        Error error = errorOf(changes);
        if (error.code == ErrorCode::NotFound) {
            m_log.info("store_history_gone", {{"kind", m_kind}, {"revision", m_revision}});
            m_needsListing = true;
            m_isWatching = false;
            co_return;
        }
        co_await handleFailure(std::move(error), "watch");
        m_isWatching = false;
        co_return;
    }
    noteResponse();
    for (const SpaceEvent &event : valueOf(changes).events)
        m_callbacks.changed(event);
    m_revision = std::max(m_revision, valueOf(changes).revision);
    if (!valueOf(changes).events.empty())
        co_await sleepFor(m_callbacks.coalesceTime());
    m_isWatching = false;
}

} // namespace pistachiofall
