#pragma once

#include "base/clock.h"
#include "fleet/admission.h"
#include "fleet/endpointboard.h"
#include "fleet/requestqueue.h"
#include "metrics/metricsregistry.h"
#include "serving/disconnectsignal.h"
#include "serving/slotoutcome.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pistachiofall {

/// What an online request asks of the scheduler.
struct OnlineSlotRequest
{
    PlacementRequest placement;
    int priority = 0;
    /// Until when the request has to start for its objective.
    SteadyTime startBy{};
    SteadyTime deadline{};
    /// Whether the request waits however long the queue is, because a part of its answer is out.
    bool bypassesAdmission = false;
};

/// Gives slots of endpoints to the requests of this instance: online requests at once or in order
/// of urgency, batch items from what is left. It lives on one thread, that of the executor.
class Scheduler
{
public:
    struct Callbacks
    {
        /// Slots may have become free for batch items.
        std::function<void()> capacityChanged;
        /// So many batch items at the endpoint must make room.
        std::function<void(const std::string &endpoint, int count)> preemptBatch;
        /// What this instance uses has changed.
        std::function<void()> usageChanged;
    };

    Scheduler(const boost::asio::any_io_executor &executor, const Clock &clock,
              EndpointBoard &board, MetricsRegistry &metrics);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    void setCallbacks(Callbacks callbacks);

    /// Waits for a slot. The slot is counted as used until release().
    boost::asio::awaitable<SlotOutcome> acquire(OnlineSlotRequest request,
                                                DisconnectSignal &caller);

    /// A slot for a batch item, if there is one that no online request waits for.
    std::optional<Placement> tryAcquireBatch(const PlacementRequest &request);

    /// Gives a slot back after the time it was held.
    void release(const std::string &endpoint, const std::string &service, WorkClass workClass,
                 std::chrono::milliseconds held);

    /// Replaces how many requests wait at a peer.
    void setPeerQueues(const std::string &peer, std::map<std::string, int> queues);
    void removePeer(const std::string &peer);

    /// Something that decides has changed: endpoints, what peers use, or the time. Changes that
    /// come together are looked at once, since each look goes over all endpoints.
    void scheduleUpdate();

    std::map<std::string, int> queueCounts() const { return m_queue.counts(); }
    ServiceLoad load(const std::string &service) const;

private:
    struct Waiter;

    void runUpdate();
    void dispatch();
    void preemptWhereFull();
    std::chrono::milliseconds meanHold(const std::string &service) const;

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    EndpointBoard &m_board;
    MetricsRegistry &m_metrics;
    Callbacks m_callbacks;
    RequestQueue m_queue;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
    std::map<std::string, std::map<std::string, int>> m_peerQueues;
    std::map<std::string, std::chrono::duration<double>> m_meanHold;
    std::uint64_t m_nextId = 1;
    boost::asio::steady_timer m_updateTimer;
    bool m_isUpdatePending = false;
};

} // namespace pistachiofall
