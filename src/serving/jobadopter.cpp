#include "serving/jobadopter.h"

#include "store/writeoutcome.h"
#include "wire/sleep.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Interval of the periodic listing of open jobs. The loss of an owner brings it forward; this one
// finds what that listing has missed.
constexpr milliseconds ScanInterval{8000};
// By then the first reports of the peers have arrived.
constexpr milliseconds FirstScanDelay{700};
constexpr milliseconds ScanDelayAfterLoss{300};
constexpr milliseconds PollInterval{200};
// When no listing is heard of, the other instances list one after the other, so that a job is found
// though the instance whose turn it is does not list.
constexpr milliseconds ScanDelayPerInstance{1000};
constexpr std::size_t MaxInstancesWaitedFor = 4;
// Interval between two reads of a job that may still come to belong to this instance.
constexpr milliseconds LookUpInterval{1000};
constexpr int MaxLookUpDoublings = 3;

} // namespace

JobAdopter::JobAdopter(const asio::any_io_executor &executor, const Clock &clock, DecisionLog &log,
                       JobStore &store, std::string owner, Callbacks callbacks)
    : m_executor(executor)
    , m_clock(clock)
    , m_log(log)
    , m_store(store)
    , m_owner(std::move(owner))
    , m_callbacks(std::move(callbacks))
{ }

void JobAdopter::start()
{
    m_nextScan = m_clock.now() + FirstScanDelay;
    asio::co_spawn(m_executor, run(), asio::detached);
}

void JobAdopter::requestLookUp(const std::string &id)
{
    if (!m_callbacks.runsHere(id))
        m_pendingLookUps.try_emplace(id);
}

void JobAdopter::requestLookUp(const std::string &id, UncertainWrite write)
{
    m_pendingLookUps[id] = {write, {}, 0};
}

void JobAdopter::expediteScan()
{
    m_nextScan = std::min(m_nextScan, m_clock.now() + ScanDelayAfterLoss);
}

std::optional<milliseconds> JobAdopter::listingAge() const
{
    if (!m_lastListing)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(m_clock.now() - *m_lastListing);
}

asio::awaitable<void> JobAdopter::run()
{
    while (!m_isStopping) {
        co_await sleepFor(PollInterval);
        co_await processLookUps();
        if (!isListingDue())
            continue;
        m_nextScan = m_clock.now() + ScanInterval;
        co_await scan();
    }
}

// The first instance lists at its times. Each other one lists when no listing has been heard of for
// longer than the instances before it would have needed.
bool JobAdopter::isListingDue() const
{
    const std::size_t before = m_callbacks.listersBefore();
    if (before == 0)
        return m_clock.now() >= m_nextScan;
    const auto waited = static_cast<std::int64_t>(std::min(before, MaxInstancesWaitedFor));
    const milliseconds patience = ScanInterval + ScanDelayPerInstance * waited;
    const auto peerAge = m_callbacks.peerListingAge();
    const auto ownAge = listingAge();
    const bool isRecent = (peerAge && *peerAge < patience) || (ownAge && *ownAge < patience);
    return !isRecent && m_clock.now() >= m_nextScan + ScanDelayPerInstance * waited;
}

asio::awaitable<void> JobAdopter::scan()
{
    const auto asked = m_clock.now();
    auto open = co_await m_store.listOpen();
    if (!isOk(open)) {
        m_log.warning("jobs_not_listed", {{"reason", errorOf(open).message}});
        m_nextScan = m_clock.now() + ScanDelayAfterLoss;
        co_return;
    }
    m_lastListing = asked;
    for (const JobRecord &record : valueOf(open)) {
        const bool isRun = m_callbacks.runsHere(record.id)
                || (record.owner != m_owner && m_callbacks.isOwnerAlive(record.owner)
                    && m_callbacks.isReported(record));
        if (!isRun && !m_callbacks.handOver(record))
            requestLookUp(record.id);
    }
}

asio::awaitable<void> JobAdopter::processLookUps()
{
    const auto now = m_clock.now();
    std::vector<std::string> ids;
    for (const auto &[id, pending] : m_pendingLookUps) {
        if (pending.next <= now)
            ids.push_back(id);
    }
    for (std::string &id : ids)
        co_await lookUp(std::move(id));
}

asio::awaitable<void> JobAdopter::lookUp(std::string id)
{
    std::string asked = id;
    const auto sent = m_clock.bootNow();
    auto record = co_await m_store.read(std::move(asked));
    if (!isOk(record) && errorOf(record).code != ErrorCode::NotFound)
        co_return;
    std::optional<std::uint64_t> revision;
    if (isOk(record)) {
        revision = valueOf(record).revision;
        const bool isSettled = co_await bringToRun(valueOf(std::move(record)), sent);
        if (!isSettled) {
            repeatLater(id);
            co_return;
        }
    }
    noteLookedUp(id, revision);
}

// Returns whether the job needs nothing more of this instance. The record was asked for at the time
// given.
asio::awaitable<bool> JobAdopter::bringToRun(JobRecord record, SteadyTime asked)
{
    if (!record.isOpen() || m_callbacks.runsHere(record.id))
        co_return true;
    if (record.owner != m_owner && m_callbacks.isOwnerAlive(record.owner)) {
        if (!m_callbacks.isReported(record))
            m_callbacks.handOver(record);
        co_return true;
    }
    co_return co_await adopt(std::move(record), asked);
}

// A job that the store says is this instance's own needs no write.
asio::awaitable<bool> JobAdopter::adopt(JobRecord record, SteadyTime asked)
{
    const std::string id = record.id;
    const std::string previousOwner = std::exchange(record.owner, m_owner);
    SteadyTime confirmed = asked;
    JobRecord source = record;
    auto items = co_await m_store.readItems(std::move(source));
    if (!isOk(items)) {
        m_log.warning("job_not_adopted", {{"job", id}, {"reason", errorOf(items).message}});
        co_return false;
    }
    if (previousOwner != m_owner) {
        confirmed = m_clock.bootNow();
        const std::uint64_t revision = record.revision;
        auto written = co_await m_store.write(std::move(record));
        if (!isOk(written)) {
            m_log.warning("job_not_adopted", {{"job", id}, {"reason", errorOf(written).message}});
            if (mayBeApplied(errorOf(written)))
                m_pendingLookUps[id].write = UncertainWrite(revision, m_clock.now());
            co_return false;
        }
        record = valueOf(std::move(written));
    }
    m_log.info("job_adopted", {{"job", id}, {"from", previousOwner}});
    m_callbacks.adopted(std::move(record), valueOf(std::move(items)), confirmed);
    co_return true;
}

void JobAdopter::repeatLater(const std::string &id)
{
    LookUp &pending = m_pendingLookUps[id];
    const int doublings = std::min(pending.failures++, MaxLookUpDoublings);
    pending.next = m_clock.now() + LookUpInterval * (1U << static_cast<unsigned>(doublings));
}

// The look-up is over unless a write is not settled by which the job may still change hands.
void JobAdopter::noteLookedUp(const std::string &id, std::optional<std::uint64_t> revision)
{
    const auto pending = m_pendingLookUps.find(id);
    if (pending == m_pendingLookUps.end())
        return;
    const auto now = m_clock.now();
    const bool isSettled = !pending->second.write || pending->second.write->isSettled(revision, now)
            || m_callbacks.runsHere(id);
    if (isSettled)
        m_pendingLookUps.erase(pending);
    else
        pending->second.next = now + LookUpInterval;
}

} // namespace pistachiofall
