#include "serving/scheduler.h"

#include "base/stablehash.h"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Delay in which changes are combined into one update; far below the age of the peers' reports.
constexpr milliseconds UpdateDelay{5};
// The mean slot hold time that is assumed until requests have been measured.
constexpr milliseconds InitialMeanHold{500};
// The weight of a new hold time in the moving average.
constexpr double MeanHoldWeight = 0.05;
// A wave of online requests lasts longer.
constexpr milliseconds SampleInterval{100};
// After a restart of endpoints or of this instance, endpoints appear within about this time.
constexpr milliseconds NoEndpointRetryAfter{500};

milliseconds until(SteadyTime time, SteadyTime now)
{
    return std::chrono::duration_cast<milliseconds>(time - now);
}

} // namespace

struct Scheduler::Waiter
{
    explicit Waiter(const asio::any_io_executor &executor)
        : timer(executor)
    { }

    asio::steady_timer timer;
    PlacementRequest placement;
    std::optional<Placement> granted;
    bool isCallerGone = false;
    bool bypassesAdmission = false;
    /// The last endpoint of the service has gone.
    bool hasNoEndpoint = false;
};

Scheduler::Scheduler(const asio::any_io_executor &executor, const Clock &clock, EndpointPool &board,
                     MetricsRegistry &metrics)
    : m_executor(executor)
    , m_clock(clock)
    , m_board(board)
    , m_metrics(metrics)
    , m_updateTimer(executor)
{ }

Scheduler::~Scheduler() = default;

void Scheduler::setCallbacks(Callbacks callbacks)
{
    m_callbacks = std::move(callbacks);
}

milliseconds Scheduler::meanHold(const std::string &service) const
{
    const auto found = m_meanHold.find(service);
    return found == m_meanHold.end() ? InitialMeanHold
                                     : std::chrono::duration_cast<milliseconds>(found->second);
}

ServiceLoad Scheduler::load(const std::string &service) const
{
    const auto now = m_clock.now();
    ServiceLoad load;
    load.slots = m_board.slotCount(service, now);
    load.freeSlots = m_board.availableOnlineSlots(service, now);
    load.waiting = m_queue.count(service);
    for (const auto &[peer, queues] : m_peerQueues) {
        const auto found = queues.find(service);
        load.waiting += found == queues.end() ? 0 : found->second;
    }
    load.meanServiceTime = meanHold(service);
    return load;
}

asio::awaitable<SlotOutcome> Scheduler::acquire(OnlineSlotRequest request, DisconnectSignal &caller)
{
    const auto begin = m_clock.now();
    const std::string service = request.placement.service;
    if (m_queue.count(service) == 0) {
        if (auto placement = m_board.placeOnline(request.placement, begin)) {
            m_board.requestStarted(placement->endpoint.id, WorkClass::Online, begin);
            preemptWhereFull();
            m_callbacks.usageChanged();
            co_return std::move(*placement);
        }
    }
    const bool isOverShare = request.isOverShare && request.isOverShare();
    const ServiceLoad current = load(service);
    const auto hash = stableHash(request.placement.key);
    if (!request.bypassesAdmission) {
        if (m_board.endpointCount(service) == 0)
            co_return SlotRefusal{SlotRefusalReason::NoEndpoint, NoEndpointRetryAfter};
        ServiceLoad ahead = current;
        // Requests of organisations within their shares go before the others.
        if (!isOverShare)
            ahead.waiting -= m_queue.countOverShare(service);
        if (decideAdmission(ahead, until(request.startBy, begin)) == Admission::Reject)
            co_return SlotRefusal{SlotRefusalReason::Overloaded,
                                  computeRetryAfter(current, until(request.deadline, begin), hash)};
    }
    const std::uint64_t id = m_nextId++;
    const auto waiter = std::make_shared<Waiter>(m_executor);
    waiter->placement = std::move(request.placement);
    waiter->bypassesAdmission = request.bypassesAdmission;
    m_waiters[id] = waiter;
    m_queue.add({id, service, request.priority, request.startBy, request.deadline, isOverShare});
    m_callbacks.usageChanged();
    caller.onDisconnect([waiter] {
        waiter->isCallerGone = true;
        waiter->timer.cancel();
    });
    waiter->timer.expires_at(request.deadline);
    if (!waiter->isCallerGone) {
        boost::system::error_code ignored;
        co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    caller.onDisconnect(nullptr);
    m_queue.remove(id);
    m_waiters.erase(id);
    m_metrics.histogram("slot_wait_seconds").record(m_clock.now() - begin);
    if (waiter->granted && !waiter->isCallerGone)
        co_return std::move(*waiter->granted);
    if (waiter->granted)
        release(waiter->granted->endpoint.id, service, WorkClass::Online, milliseconds{0});
    if (waiter->isCallerGone)
        co_return SlotRefusal{SlotRefusalReason::CallerGone, milliseconds{0}};
    if (waiter->hasNoEndpoint)
        co_return SlotRefusal{SlotRefusalReason::NoEndpoint, NoEndpointRetryAfter};
    co_return SlotRefusal{SlotRefusalReason::DeadlinePassed,
                          computeRetryAfter(load(service), milliseconds{0}, hash)};
}

std::optional<Placement> Scheduler::tryAcquireBatch(const PlacementRequest &request)
{
    const auto now = m_clock.now();
    const ServiceLoad current = load(request.service);
    if (current.waiting > 0)
        return std::nullopt;
    const FreeSlotMargin margin = batchMargin(request, current);
    m_metrics.gauge("batch_margin_slots", {{"service", request.service}}).set(margin.sameDomain);
    auto placement = m_board.placeBatch(request, margin, now);
    if (!placement) {
        m_metrics.counter("batch_starts_held_total", {{"service", request.service}}).add();
        return std::nullopt;
    }
    m_board.requestStarted(placement->endpoint.id, WorkClass::Batch, now);
    m_callbacks.usageChanged();
    return placement;
}

FreeSlotMargin Scheduler::batchMargin(const PlacementRequest &request,
                                      const ServiceLoad &load) const
{
    const auto now = m_clock.now();
    const std::string &service = request.service;
    const OnlineLoad online{load.slots - load.freeSlots + load.waiting,
                            m_board.endpointCount(service), load.meanServiceTime};
    const auto found = m_batchMargins.find(service);
    const BatchMargin margin = found == m_batchMargins.end() ? BatchMargin() : found->second;
    const UsageAge &age = m_board.usageAge();
    FreeSlotMargin free{margin.slotsToLeaveFree(online, age.sameDomain, now),
                        margin.slotsToLeaveFree(online, age.otherDomain, now)};
    const auto peak = m_onlinePeaks.find(service);
    if (m_leavesRoomForPeaks && !request.isUrgent && peak != m_onlinePeaks.end()
        && online.endpoints > 0)
        free.maxBatch = batchSlotsBesidePeak(load.slots / online.endpoints, peak->second.value(now),
                                             online.endpoints);
    return free;
}

void Scheduler::sampleLoad()
{
    const auto now = m_clock.now();
    if (now < m_nextSample)
        return;
    m_nextSample = now + SampleInterval;
    for (const auto &[service, hold] : m_meanHold) {
        recordSpread(service);
        if (!m_leavesRoomForPeaks)
            continue;
        const ServiceLoad current = load(service);
        m_onlinePeaks[service].record(current.slots - current.freeSlots + current.waiting, now);
    }
}

// The part of the samples in which some endpoints are full while others have room tells how
// unevenly the service is used.
void Scheduler::recordSpread(const std::string &service)
{
    const LoadSpread spread = m_board.loadSpread(service);
    const Labels labels{{"service", service}};
    m_metrics.counter("load_samples_total", labels).add();
    if (spread.full > 0 && spread.withRoom > 0)
        m_metrics.counter("load_samples_uneven_total", labels).add();
    m_metrics.gauge("endpoints_full", labels).set(spread.full);
    m_metrics.gauge("endpoints_with_room", labels).set(spread.withRoom);
}

void Scheduler::release(const std::string &endpoint, const std::string &service,
                        WorkClass workClass, milliseconds held)
{
    m_board.requestFinished(endpoint, workClass, m_clock.now());
    if (workClass == WorkClass::Online && held.count() > 0) {
        const std::chrono::duration<double> seconds = held;
        const auto place = m_meanHold.try_emplace(service, seconds).first;
        place->second += (seconds - place->second) * MeanHoldWeight;
    }
    m_callbacks.usageChanged();
    // If a request is waiting for the slot, the update runs immediately.
    if (m_queue.count(service) > 0)
        runUpdate();
    else
        scheduleUpdate();
}

void Scheduler::setPeerQueues(const std::string &peer, std::map<std::string, int> queues)
{
    m_peerQueues[peer] = std::move(queues);
}

void Scheduler::removePeer(const std::string &peer)
{
    m_peerQueues.erase(peer);
}

void Scheduler::scheduleUpdate()
{
    if (std::exchange(m_isUpdatePending, true))
        return;
    m_updateTimer.expires_after(UpdateDelay);
    m_updateTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            runUpdate();
    });
}

void Scheduler::runUpdate()
{
    m_isUpdatePending = false;
    sampleLoad();
    dispatch();
    preemptWhereFull();
    m_callbacks.capacityChanged();
}

void Scheduler::dispatch()
{
    const auto now = m_clock.now();
    bool hasGranted = false;
    for (const std::string &service : m_queue.services()) {
        if (m_board.endpointCount(service) == 0)
            refuseWaiting(service);
        for (const WaitingRequest &waiting : m_queue.ordered(service, now)) {
            const auto waiter = m_waiters.at(waiting.id);
            auto placement = m_board.placeOnline(waiter->placement, now);
            // A request that excludes endpoints may find no slot although the next request can.
            if (!placement && waiter->placement.excluded.empty())
                break;
            if (!placement)
                continue;
            m_board.requestStarted(placement->endpoint.id, WorkClass::Online, now);
            waiter->granted = std::move(placement);
            waiter->timer.cancel();
            m_queue.remove(waiting.id);
            hasGranted = true;
        }
    }
    if (hasGranted)
        m_callbacks.usageChanged();
}

// Requests that may have run, or whose response has begun, wait for another endpoint.
void Scheduler::refuseWaiting(const std::string &service)
{
    for (const WaitingRequest &waiting : m_queue.ordered(service, m_clock.now())) {
        const auto waiter = m_waiters.at(waiting.id);
        if (waiter->bypassesAdmission)
            continue;
        waiter->hasNoEndpoint = true;
        waiter->timer.cancel();
        m_queue.remove(waiting.id);
    }
}

void Scheduler::refuseAll()
{
    for (const auto &[id, waiter] : m_waiters) {
        waiter->hasNoEndpoint = true;
        waiter->timer.cancel();
        m_queue.remove(id);
    }
}

void Scheduler::preemptWhereFull()
{
    for (const auto &[endpoint, use] : m_board.localUsage()) {
        const int count = use.batch == 0 ? 0 : m_board.batchItemsToPreempt(endpoint);
        const int preempted = count > 0 ? m_callbacks.preemptBatch(endpoint, count) : 0;
        const FleetEndpoint *entry = preempted > 0 ? m_board.find(endpoint) : nullptr;
        if (entry != nullptr)
            m_batchMargins[entry->service].recordPreemptions(preempted, m_clock.now());
    }
}

} // namespace pistachiofall
