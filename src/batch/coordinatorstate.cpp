#include "batch/coordinatorstate.h"

#include "batch/jobcodec.h"
#include "batch/progresscodec.h"
#include "batch/resultscodec.h"
#include "batch/segmentcodec.h"
#include "batch/storecalls.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <random>
#include <utility>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::batch::detail {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Minimum time between two reads of the jobs, also after a failed read or a notification.
constexpr milliseconds MinPollInterval{250};

// Period of the work loop. Delays of items and of store calls are checked at this interval, so they
// end at most this late.
constexpr milliseconds WorkInterval{100};

// Delay before a segment that could not be read is read again.
constexpr std::chrono::seconds LoadRetryDelay{2};

// Limits of the phases after the grace period of a planned stop: the time in which cancelled items
// have to end, and the time for the last writes.
constexpr milliseconds CancelTimeout{1000};
constexpr milliseconds ReleaseTimeout{2000};

std::uint64_t randomSeed()
{
    return std::random_device{}();
}

} // namespace

CoordinatorState::CoordinatorState(const asio::any_io_executor &executor,
                                   std::shared_ptr<ObjectStore> store, const Clock &clock,
                                   MetricsRegistry &metrics, const JobCoordinatorSettings &settings)
    : m_executor(executor)
    , m_strand(asio::make_strand(executor))
    , m_store(std::move(store))
    , m_clock(clock)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_gate(std::make_shared<StartGate>(clock, settings.scheduler.readFreshness,
                                         settings.ownsShard))
    , m_scheduler(settings.scheduler, randomSeed())
    , m_pollTimer(m_strand)
    , m_workTimer(m_strand)
{ }

void CoordinatorState::onJobChanged()
{
    m_isReadRequested = true;
    m_pollTimer.cancel();
}

void CoordinatorState::onShardTableChanged()
{
    if (heldEpochs() != m_readEpochs)
        onJobChanged();
}

void CoordinatorState::kill()
{
    m_isKilled = true;
    m_gate->close();
    m_pollTimer.cancel();
    m_workTimer.cancel();
    for (const auto &[key, cancellation] : m_runningItems)
        cancellation->cancel();
}

std::vector<std::uint32_t> CoordinatorState::heldShards() const
{
    std::vector<std::uint32_t> shards;
    for (std::uint32_t shard = 0; shard < m_settings.shardCount; ++shard) {
        if (m_gate->epochOf(shard))
            shards.push_back(shard);
    }
    return shards;
}

std::map<std::uint32_t, std::uint64_t> CoordinatorState::heldEpochs() const
{
    std::map<std::uint32_t, std::uint64_t> epochs;
    for (std::uint32_t shard = 0; shard < m_settings.shardCount; ++shard) {
        if (const auto epoch = m_gate->epochOf(shard))
            epochs.emplace(shard, *epoch);
    }
    return epochs;
}

asio::awaitable<void> CoordinatorState::pollJobs(Self self)
{
    while (!self->m_isKilled) {
        self->m_isReadRequested = false;
        const auto start = self->m_clock.now();
        const bool isRead = co_await readJobs(self);
        self->wakeWorkLoop();
        boost::system::error_code ignored;
        // A notification shortens the wait, but not below the minimum interval.
        self->m_pollTimer.expires_at(start + MinPollInterval);
        co_await self->m_pollTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        while (!self->m_isKilled && self->m_clock.now() < start + MinPollInterval) {
            self->m_pollTimer.expires_at(start + MinPollInterval);
            co_await self->m_pollTimer.async_wait(
                    asio::redirect_error(asio::use_awaitable, ignored));
        }
        if (isRead && !self->m_isReadRequested && !self->m_scheduler.wantsRead()
            && !self->m_isKilled) {
            self->m_pollTimer.expires_at(start + self->readInterval());
            co_await self->m_pollTimer.async_wait(
                    asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
}

milliseconds CoordinatorState::readInterval() const
{
    // Without shards a read does not call the store, so frequent reads are cheap and find the first
    // shard soon.
    if (m_scheduler.hasJobs() || heldShards().empty())
        return m_settings.pollInterval;
    return m_settings.idlePollInterval;
}

// Returns whether the read succeeded.
asio::awaitable<bool> CoordinatorState::readJobs(Self self)
{
    const auto start = self->m_clock.now();
    // Recorded before the call, so that a change during the call triggers another read.
    self->m_readEpochs = self->heldEpochs();
    const auto shards = self->heldShards();
    std::vector<ListedJob> jobs;
    if (!shards.empty()) {
        const auto list = co_await self->m_store->list(activeJobsSelector(shards));
        if (!isOk(list))
            co_return false;
        jobs = self->decodeJobs(valueOf(list));
    }
    self->m_scheduler.onJobsRead(std::move(jobs), start);
    self->m_gate->onJobsRead(start);
    co_return true;
}

std::vector<ListedJob> CoordinatorState::decodeJobs(const ObjectList &list)
{
    std::vector<ListedJob> jobs;
    for (const StoredObject &object : list.objects) {
        auto job = decodeJob(object);
        if (!isOk(job)) {
            m_metrics.unreadable.add();
            continue;
        }
        const auto epoch = m_gate->epochOf(valueOf(job).id.shard(m_settings.shardCount));
        if (epoch)
            jobs.push_back({valueOf(std::move(job)), object.version, *epoch});
    }
    return jobs;
}

asio::awaitable<void> CoordinatorState::runWorkLoop(Self self)
{
    while (!self->m_isKilled) {
        self->step();
        self->m_workTimer.expires_after(WorkInterval);
        boost::system::error_code ignored;
        co_await self->m_workTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void CoordinatorState::step()
{
    const auto now = m_clock.now();
    while (m_scheduler.claimNext(now)) { }
    m_scheduler.releaseStalled(now);
    const auto spacing =
            m_settings.checkpointSpacing ? m_settings.checkpointSpacing() : milliseconds{0};
    m_scheduler.prepareWrites(now, spacing);
    for (const SegmentKey &key : m_scheduler.runs())
        advanceRun(key, now);
    const auto isHeld = [this](const JobId &id) {
        return m_gate->mayStart(id.shard(m_settings.shardCount));
    };
    while (const auto key = m_scheduler.startNext(now, isHeld))
        startItem(*key);
    for (const auto &[key, end] : m_scheduler.removeEndedRuns(now)) {
        m_items.erase(key);
        m_metrics.countSegmentEnd(end);
    }
    while (auto write = m_scheduler.nextJobWrite(now))
        asio::co_spawn(m_strand, writeJob(shared_from_this(), *std::move(write)), asio::detached);
    m_metrics.inFlight.set(static_cast<std::int64_t>(m_scheduler.inFlight()));
    m_metrics.segments.set(static_cast<std::int64_t>(m_scheduler.runs().size()));
    if (m_scheduler.wantsRead())
        m_pollTimer.cancel();
}

void CoordinatorState::advanceRun(const SegmentKey &key, TimePoint now)
{
    SegmentRun &run = *m_scheduler.run(key);
    if (run.isStopping() && now >= m_cancelNotBefore)
        cancelItems(key);
    if (run.phase() == SegmentRun::Phase::Loading)
        beginLoadingItems(key, now);
    auto action = run.nextStoreAction(now);
    if (!action)
        return;
    auto self = shared_from_this();
    if (std::holds_alternative<ReadProgress>(*action)) {
        asio::co_spawn(m_strand, readProgress(std::move(self), key), asio::detached);
        return;
    }
    std::string version;
    Progress progress;
    if (auto *update = std::get_if<UpdateProgress>(&*action)) {
        version = std::move(update->version);
        progress = std::move(update->progress);
    } else {
        progress = std::move(std::get<CreateProgress>(*action).progress);
    }
    asio::co_spawn(m_strand,
                   writeProgress(std::move(self), key, std::move(progress), std::move(version)),
                   asio::detached);
}

void CoordinatorState::beginLoadingItems(const SegmentKey &key, TimePoint now)
{
    LoadedItems &entry = m_items[key];
    if (entry.isLoading || now < entry.notBefore)
        return;
    entry.isLoading = true;
    const ContentHash hash = m_scheduler.job(key.job)->segments[key.segment].hash;
    asio::co_spawn(m_strand, loadItems(shared_from_this(), key, hash), asio::detached);
}

asio::awaitable<void> CoordinatorState::loadItems(Self self, SegmentKey key, ContentHash hash)
{
    const auto object = co_await self->m_store->get(segmentObjectName(key.job, hash));
    Result<std::vector<BatchItem>> items = Error{};
    if (isOk(object))
        items = decodeSegment(valueOf(object).data, hash);
    LoadedItems &entry = self->m_items[key];
    entry.isLoading = false;
    if (isOk(items)) {
        self->onLoaded(key, valueOf(std::move(items)));
    } else {
        self->m_metrics.unreadable.add();
        entry.notBefore = self->m_clock.now() + LoadRetryDelay;
    }
    self->wakeWorkLoop();
}

void CoordinatorState::onLoaded(const SegmentKey &key, std::vector<BatchItem> items)
{
    SegmentRun *run = m_scheduler.run(key);
    if (run == nullptr) {
        m_items.erase(key);
        return;
    }
    std::vector<bool> isIdempotent;
    isIdempotent.reserve(items.size());
    for (const BatchItem &item : items)
        isIdempotent.push_back(m_settings.isIdempotent(item.path));
    m_items[key].items = std::move(items);
    run->onLoaded(isIdempotent);
}

asio::awaitable<void> CoordinatorState::readProgress(Self self, SegmentKey key)
{
    const auto object = co_await self->m_store->get(progressObjectName(key.job, key.segment));
    SegmentRun *run = self->m_scheduler.run(key);
    if (run == nullptr)
        co_return;
    if (isOk(object)) {
        auto progress = decodeProgress(key.job, key.segment, valueOf(object));
        if (isOk(progress)) {
            run->onRead(valueOf(std::move(progress)), valueOf(object).version);
        } else {
            self->m_metrics.unreadable.add();
            run->onReadFailed(self->m_clock.now());
        }
    } else if (errorOf(object).code == ErrorCode::NotFound) {
        run->onRead(std::nullopt, {});
    } else {
        run->onReadFailed(self->m_clock.now());
    }
    self->wakeWorkLoop();
}

asio::awaitable<void> CoordinatorState::writeProgress(Self self, SegmentKey key, Progress progress,
                                                      std::string version)
{
    StoredObject object = encodeProgress(key.job, key.segment, progress);
    if (object.data.size() > MaxProgressBytes && !progress.results.empty()) {
        co_await storePart(self, key, std::move(progress.results));
        self->wakeWorkLoop();
        co_return;
    }
    object.version = std::move(version);
    const bool isNew = object.version.empty();
    auto call = isNew ? self->m_store->create(std::move(object))
                      : self->m_store->update(std::move(object));
    const auto stored = co_await std::move(call);
    SegmentRun *run = self->m_scheduler.run(key);
    if (run == nullptr)
        co_return;
    if (isOk(stored))
        run->onWritten(valueOf(stored).version, self->m_clock.now());
    else
        run->onWriteFailed(errorOf(stored).code, self->m_clock.now());
    self->wakeWorkLoop();
}

asio::awaitable<void> CoordinatorState::storePart(Self self, SegmentKey key, ResultMap results)
{
    EncodedPart encoded = encodePart(results);
    Result<Done> stored = Done{};
    for (std::size_t chunk = 0; chunk < encoded.chunks.size() && isOk(stored); ++chunk) {
        StoredObject object;
        object.name = chunkObjectName(key.job, encoded.part.chunks[chunk]);
        object.labels = {{"kind", "results"}, {"job", key.job.toString()}};
        object.data = std::move(encoded.chunks[chunk]);
        stored = co_await putImmutable(self->m_store, std::move(object));
    }
    SegmentRun *run = self->m_scheduler.run(key);
    if (run == nullptr)
        co_return;
    if (isOk(stored))
        run->onPartStored(encoded.part);
    else
        run->onWriteFailed(ErrorCode::Unavailable, self->m_clock.now());
}

asio::awaitable<void> CoordinatorState::writeJob(Self self, JobScheduler::JobWrite write)
{
    if (!write.job.isActive)
        write.job.ended = std::chrono::floor<milliseconds>(self->m_clock.wallNow());
    StoredObject object = encodeJob(write.job, self->m_settings.shardCount);
    object.version = std::move(write.version);
    const auto stored = co_await self->m_store->update(std::move(object));
    if (isOk(stored)) {
        self->m_scheduler.onJobWritten(write.job.id, valueOf(stored).version, self->m_clock.now());
        if (!write.job.isActive)
            self->m_metrics.jobsEnded.add();
    } else {
        self->m_scheduler.onJobWriteFailed(write.job.id, errorOf(stored).code, self->m_clock.now());
    }
    self->wakeWorkLoop();
}

void CoordinatorState::startItem(const ItemKey &key)
{
    const Job &job = *m_scheduler.job(key.segment.job);
    auto cancellation =
            std::make_shared<ItemCancellation>(m_gate, job.id.shard(m_settings.shardCount));
    m_runningItems[key] = cancellation;
    asio::co_spawn(m_executor,
                   runItem(shared_from_this(), key, m_items.at(key.segment).items.at(key.item),
                           job.organisation, std::move(cancellation)),
                   asio::detached);
}

asio::awaitable<void> CoordinatorState::runItem(Self self, ItemKey key, BatchItem item,
                                                std::string organisation,
                                                std::shared_ptr<ItemCancellation> cancellation)
{
    ItemOutcome outcome = ItemOutcomeUnknown{"the item's run failed"};
    try {
        auto run = self->m_settings.runItem(std::move(item), std::move(organisation),
                                            std::move(cancellation));
        outcome = co_await std::move(run);
    } catch (const std::exception &error) {
        outcome = ItemOutcomeUnknown{error.what()};
    }
    const auto strand = self->m_strand;
    asio::post(strand, [self = std::move(self), key, outcome = std::move(outcome)] {
        self->m_runningItems.erase(key);
        self->m_metrics.countOutcome(outcome);
        self->m_scheduler.onOutcome(key, outcome, self->m_clock.now());
        self->wakeWorkLoop();
    });
}

void CoordinatorState::cancelItems(const SegmentKey &key)
{
    for (auto entry = m_runningItems.lower_bound({key, 0});
         entry != m_runningItems.end() && entry->first.segment == key; ++entry)
        entry->second->cancel();
}

asio::awaitable<void> CoordinatorState::stop(Self self, std::chrono::milliseconds grace)
{
    const auto start = self->m_clock.now();
    self->m_gate->close();
    self->m_cancelNotBefore = start + grace;
    self->m_scheduler.release();
    asio::steady_timer timer(self->m_strand);
    for (;;) {
        self->step();
        const auto now = self->m_clock.now();
        if (now >= start + grace + CancelTimeout)
            self->m_scheduler.abandonItems();
        if (self->m_scheduler.runs().empty()
            || now >= start + grace + CancelTimeout + ReleaseTimeout)
            break;
        timer.expires_after(MinPollInterval / 10);
        co_await timer.async_wait(asio::use_awaitable);
    }
    self->kill();
}

} // namespace pistachiofall::batch::detail
