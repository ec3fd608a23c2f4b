#include "serving/kindwatcher.h"

#include "wire/sleep.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// A watch is one call regardless of its duration, and its answer names the revision to go on from.
// One that breaks off may have been open for longer than the store keeps changes; a listing
// follows.
constexpr milliseconds WatchTimeout{25000};
constexpr milliseconds InitialBackoff{50};
constexpr milliseconds MaxBackoff{400};
constexpr int MaxBackoffDoublings = 3;
// After a failure a short watch shows quickly whether the store responds again.
constexpr milliseconds WatchTimeoutAfterFailure{50};
// A watch that fails this often in a row may fail for a reason that a listing does not meet, such
// as an answer that is too large or malformed.
constexpr int WatchFailuresBeforeListing = 2;
// Leaves time within the bound on changes for a listing over a new connection.
constexpr milliseconds AskTimeout{400};
// A shorter gap is not an outage but a slow response.
constexpr milliseconds MinReportedOutage{1000};
// The time after the coalescing within which the watch of a healthy instance reports what its peers
// know.
constexpr milliseconds BehindMargin{250};
// What a follower takes beyond that of the peer that it follows.
constexpr milliseconds FollowMargin{500};
constexpr milliseconds FollowPollInterval{100};
// The age of an outage that never was.
constexpr milliseconds NoRecovery = std::chrono::hours{24};
// Two reports of one recovery differ by less.
constexpr milliseconds SameRecovery{1000};

} // namespace

KindWatcher::KindWatcher(const asio::any_io_executor &executor, const Clock &clock,
                         DecisionLog &log, std::shared_ptr<ObjectSpace> space, std::string kind,
                         milliseconds changeBound, Callbacks callbacks)
    : m_executor(executor)
    , m_clock(clock)
    , m_log(log)
    , m_space(std::move(space))
    , m_kind(std::move(kind))
    , m_callbacks(std::move(callbacks))
    , m_freshness(changeBound)
    , m_created(clock.now())
    , m_lastResponse(m_created)
{ }

SteadyTime KindWatcher::lastContact() const
{
    return m_isWatching && m_failures == 0 ? m_clock.now() : m_lastResponse;
}

void KindWatcher::start()
{
    asio::co_spawn(m_executor, run(), asio::detached);
}

asio::awaitable<void> KindWatcher::run()
{
    const int generation = m_generation;
    while (generation == m_generation) {
        if (m_needsListing)
            co_await listAll(generation);
        else if (decideFollowing())
            co_await followOnce(generation);
        else
            co_await watchOnce(generation);
    }
}

void KindWatcher::restart(Restart how, std::string_view reason)
{
    m_log.warning("watch_restarted",
                  {{"kind", m_kind}, {"revision", m_revision}, {"reason", reason}});
    ++m_generation;
    m_isWatching = false;
    m_needsListing = m_needsListing || how == Restart::List;
    m_freshness.recordRestart(m_clock.now());
    start();
}

void KindWatcher::checkFreshness(const std::function<std::size_t()> &askRank)
{
    // While calls fail, they are retried anyway.
    if (!m_hasListed || m_needsListing || m_failures > 0 || m_isAsking)
        return;
    if (m_isFollowing && m_callbacks.isStoreLost())
        return;
    const auto now = m_clock.now();
    const auto margin = m_isFollowing ? BehindMargin + FollowMargin : BehindMargin;
    if (m_freshness.isBehind(m_callbacks.coalesceTime() + margin, now)) {
        restart(Restart::List, "a peer knows a newer change");
        return;
    }
    if (m_freshness.shouldAsk(0, now) && m_freshness.shouldAsk(askRank(), now))
        asio::co_spawn(m_executor, askForChanges(), asio::detached);
}

asio::awaitable<void> KindWatcher::askForChanges()
{
    m_isAsking = true;
    const int generation = m_generation;
    const auto asked = m_clock.now();
    const auto changes = co_await m_space->changes(m_kind, m_revision, AskTimeout);
    m_isAsking = false;
    if (generation != m_generation)
        co_return;
    if (!isOk(changes)) {
        restart(Restart::List, errorOf(changes).message);
        co_return;
    }
    m_lastResponse = m_clock.now();
    m_freshness.recordResponse(valueOf(changes).revision, asked);
    if (!valueOf(changes).events.empty()) {
        applyChanges(valueOf(changes));
        restart(Restart::Watch, "the open watch has not reported a change");
    }
    m_callbacks.confirmed();
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
        noteRecovery(now);
}

// A peer that this instance follows may have noticed the same outage.
void KindWatcher::noteRecovery(SteadyTime recoveredAt)
{
    if (m_recoveredAt && recoveredAt - *m_recoveredAt < SameRecovery)
        return;
    m_recoveredAt = recoveredAt;
    m_callbacks.storeRecovered(recoveredAt);
}

asio::awaitable<void> KindWatcher::handleFailure(Error error, std::string_view call)
{
    if (m_failures == 0) {
        // The outage starts now: until this failure the watch was open.
        if (m_isWatching)
            m_lastResponse = m_clock.now();
        m_log.warning("store_lost", {{"kind", m_kind}, {"call", call}, {"reason", error.message}});
    }
    const auto doublings = std::min(std::max(m_failures, m_watchFailures - 1), MaxBackoffDoublings);
    const auto backoff = InitialBackoff * (1U << static_cast<unsigned>(doublings));
    ++m_failures;
    co_await sleepFor(std::min<milliseconds>(backoff, MaxBackoff));
}

asio::awaitable<void> KindWatcher::listAll(int generation)
{
    const auto asked = m_clock.now();
    std::vector<SpaceObject> objects;
    std::uint64_t revision = 0;
    std::string after;
    for (;;) {
        std::string from = after;
        auto page = co_await m_space->list(m_kind, std::move(from), Freshness::Newest);
        if (generation != m_generation)
            co_return;
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
    for (const SpaceObject &object : objects)
        m_freshness.recordChange(object.revision);
    m_freshness.recordResponse(revision, asked);
    m_history.recordListing(revision);
    m_callbacks.listed(objects);
}

asio::awaitable<void> KindWatcher::watchOnce(int generation)
{
    m_isWatching = true;
    const milliseconds wait = m_failures > 0 ? WatchTimeoutAfterFailure : WatchTimeout;
    const auto changes = co_await m_space->watch(m_kind, m_revision, wait);
    if (generation != m_generation)
        co_return;
    if (!isOk(changes)) {
        Error error = errorOf(changes);
        if (error.code == ErrorCode::NotFound) {
            m_log.info("store_history_gone", {{"kind", m_kind}, {"revision", m_revision}});
            m_needsListing = true;
            m_isWatching = false;
            co_return;
        }
        m_needsListing = ++m_watchFailures % WatchFailuresBeforeListing == 0;
        co_await handleFailure(std::move(error), "watch");
        if (generation == m_generation)
            m_isWatching = false;
        co_return;
    }
    noteResponse();
    m_watchFailures = 0;
    m_freshness.recordResponse(valueOf(changes).revision, m_clock.now());
    applyChanges(valueOf(changes));
    if (!valueOf(changes).events.empty()) {
        m_callbacks.confirmed();
        co_await sleepFor(m_callbacks.coalesceTime());
    }
    if (generation == m_generation)
        m_isWatching = false;
}

bool KindWatcher::decideFollowing()
{
    bool isFollowing = false;
    if (m_callbacks.group) {
        const WatchGroup group = m_callbacks.group();
        isFollowing = m_sharing.shouldFollow(group.rank, group.size, m_clock.now());
    }
    if (isFollowing != m_isFollowing)
        m_log.info("watch_shared", {{"kind", m_kind}, {"follows", isFollowing ? "yes" : "no"}});
    m_isFollowing = isFollowing;
    return isFollowing;
}

asio::awaitable<void> KindWatcher::followOnce(int generation)
{
    m_isWatching = false;
    co_await sleepFor(FollowPollInterval);
    const auto asked = m_clock.now();
    const bool isBehind = m_freshness.isBehind(milliseconds{0}, asked);
    if (generation != m_generation || !m_sharing.shouldFetch(isBehind, asked))
        co_return;
    const auto fetched = co_await m_callbacks.fetchChanges(m_kind, m_revision);
    if (generation != m_generation)
        co_return;
    if (!isOk(fetched)) {
        m_log.info("watch_not_shared", {{"kind", m_kind}, {"reason", errorOf(fetched).message}});
        m_needsListing = errorOf(fetched).code == ErrorCode::NotFound;
        if (m_needsListing)
            m_sharing.recordFetched(asked);
        else
            m_sharing.recordFailed(m_clock.now());
        co_return;
    }
    m_sharing.recordFetched(asked);
    m_failures = 0;
    const PeerChanges &peer = valueOf(fetched);
    if (peer.recoveredAge < NoRecovery)
        noteRecovery(asked - peer.recoveredAge);
    m_freshness.recordResponse(peer.changes.revision, asked - peer.confirmedAge);
    applyChanges(peer.changes);
}

std::optional<PeerChanges> KindWatcher::changesSince(std::uint64_t revision) const
{
    auto changes = m_history.since(revision);
    if (!changes)
        return std::nullopt;
    const auto now = m_clock.now();
    const auto ageOf = [now](SteadyTime time) {
        return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(now - time));
    };
    return PeerChanges{std::move(*changes), ageOf(confirmedAt()),
                       m_recoveredAt ? ageOf(*m_recoveredAt) : NoRecovery};
}

void KindWatcher::applyChanges(const SpaceChanges &changes)
{
    m_history.recordChanges(changes);
    for (const SpaceEvent &event : changes.events) {
        m_freshness.recordChange(event.object.revision);
        m_callbacks.changed(event);
    }
    m_revision = std::max(m_revision, changes.revision);
}

} // namespace pistachiofall
