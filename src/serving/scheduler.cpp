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

// Slots of each endpoint that batch items leave free. An item makes room within two reports, far
// below the objectives of interactive routes, so that none has to be kept.
constexpr int BatchReserve = 0;
// Far below the age of what peers report.
constexpr milliseconds UpdateDelay{5};
// Until requests have been seen.
constexpr milliseconds FirstMeanHold{500};
constexpr double HoldWeight = 0.05;
// After a restart of endpoints or of this instance others appear within about this time.
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
    return found == m_meanHold.end() ? FirstMeanHold
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

asio::awaitable<SlotOutcome> Scheduler::acquire(OnlineSlotRequest request, CallerWatch &caller)
{
    const auto begin = m_clock.now();
    const std::string service = request.placement.service;
    if (m_queue.count(service) == 0) {
        if (auto placement = m_board.placeOnline(request.placement, begin)) {
            m_board.requestStarted(placement->endpoint.id, WorkClass::Online, begin);
            yieldWhereFull();
            m_callbacks.useChanged();
            co_return std::move(*placement);
        }
    }
    const ServiceLoad present = load(service);
    const auto hash = stableHash(request.placement.key);
    if (!request.isCommitted) {
        if (m_board.endpointCount(service) == 0)
            co_return SlotRefusal{SlotRefusalReason::NoEndpoint, NoEndpointRetryAfter};
        if (decideAdmission(present, until(request.startBy, begin)) == Admission::Reject)
            co_return SlotRefusal{SlotRefusalReason::Overloaded,
                                  computeRetryAfter(present, until(request.deadline, begin), hash)};
    }
    const std::uint64_t id = m_nextId++;
    const auto waiter = std::make_shared<Waiter>(m_executor);
    waiter->placement = std::move(request.placement);
    m_waiters[id] = waiter;
    m_queue.add({id, service, request.priority, request.startBy, request.deadline});
    m_callbacks.useChanged();
    caller.onGone([waiter] {
        waiter->isCallerGone = true;
        waiter->timer.cancel();
    });
    waiter->timer.expires_at(request.deadline);
    if (!waiter->isCallerGone) {
        boost::system::error_code ignored;
        co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    caller.onGone(nullptr);
    m_queue.remove(id);
    m_waiters.erase(id);
    m_metrics.histogram("slot_wait_seconds").record(m_clock.now() - begin);
    if (waiter->granted && !waiter->isCallerGone)
        co_return std::move(*waiter->granted);
    if (waiter->granted)
        release(waiter->granted->endpoint.id, service, WorkClass::Online, milliseconds{0});
    if (waiter->isCallerGone)
        co_return SlotRefusal{SlotRefusalReason::CallerGone, milliseconds{0}};
    co_return SlotRefusal{SlotRefusalReason::DeadlinePassed,
                          computeRetryAfter(load(service), milliseconds{0}, hash)};
}

std::optional<Placement> Scheduler::tryBatch(const PlacementRequest &request)
{
    const auto now = m_clock.now();
    if (load(request.service).waiting > 0)
        return std::nullopt;
    auto placement = m_board.placeBatch(request, BatchReserve, now);
    if (!placement)
        return std::nullopt;
    m_board.requestStarted(placement->endpoint.id, WorkClass::Batch, now);
    m_callbacks.useChanged();
    return placement;
}

void Scheduler::release(const std::string &endpoint, const std::string &service,
                        WorkClass workClass, milliseconds held)
{
    m_board.requestFinished(endpoint, workClass, m_clock.now());
    if (workClass == WorkClass::Online && held.count() > 0) {
        const std::chrono::duration<double> seconds = held;
        const auto place = m_meanHold.try_emplace(service, seconds).first;
        place->second += (seconds - place->second) * HoldWeight;
    }
    m_callbacks.useChanged();
    // A slot that is free is worth a look at once when a request waits for it.
    if (m_queue.count(service) > 0)
        lookAgain();
    else
        update();
}

void Scheduler::setPeerQueues(const std::string &peer, std::map<std::string, int> queues)
{
    m_peerQueues[peer] = std::move(queues);
}

void Scheduler::forgetPeer(const std::string &peer)
{
    m_peerQueues.erase(peer);
}

void Scheduler::update()
{
    if (std::exchange(m_isUpdateDue, true))
        return;
    m_updateTimer.expires_after(UpdateDelay);
    m_updateTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            lookAgain();
    });
}

void Scheduler::lookAgain()
{
    m_isUpdateDue = false;
    dispatch();
    yieldWhereFull();
    m_callbacks.capacityChanged();
}

void Scheduler::dispatch()
{
    const auto now = m_clock.now();
    bool hasGranted = false;
    for (const std::string &service : m_queue.services()) {
        for (const WaitingRequest &waiting : m_queue.ordered(service, now)) {
            const auto waiter = m_waiters.at(waiting.id);
            auto placement = m_board.placeOnline(waiter->placement, now);
            // One that excludes endpoints may find none where the next one does.
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
        m_callbacks.useChanged();
}

void Scheduler::yieldWhereFull()
{
    for (const auto &[endpoint, use] : m_board.localUsage()) {
        const int count = use.batch == 0 ? 0 : m_board.batchItemsToPreempt(endpoint);
        if (count > 0)
            m_callbacks.yieldBatch(endpoint, count);
    }
}

} // namespace pistachiofall
