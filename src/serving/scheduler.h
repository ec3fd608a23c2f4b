#pragma once

#include "base/clock.h"
#include "fleet/admission.h"
#include "fleet/batchmargin.h"
#include "fleet/endpointpool.h"
#include "fleet/onlinepeak.h"
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

/// The parameters with which an online request acquires a slot.
struct OnlineSlotRequest
{
    PlacementRequest placement;
    int priority = 0;
    /// The latest start at which the request can meet its objective.
    SteadyTime startBy{};
    SteadyTime deadline{};
    /// Whether the request waits regardless of the queue length, because an earlier attempt may
    /// have run it or part of its response has been sent.
    bool bypassesAdmission = false;
    /// Tells whether the organisation of the request takes more than its share of the room. Asked
    /// only when there is no free slot; may be empty.
    std::function<bool()> isOverShare;
};

/// Assigns slots of endpoints to the requests of this instance. Online requests get a slot
/// immediately or are queued by urgency; batch items get the slots that are left. Not thread safe:
/// must be used on the thread of the executor.
class Scheduler
{
public:
    struct Callbacks
    {
        /// Slots may have become available for batch items.
        std::function<void()> capacityChanged;
        /// This number of batch items at the endpoint must be preempted. Returns how many of them
        /// are being preempted only now.
        std::function<int(const std::string &endpoint, int count)> preemptBatch;
        /// The usage of this instance has changed: its slots or its queues.
        std::function<void()> usageChanged;
    };

    Scheduler(const boost::asio::any_io_executor &executor, const Clock &clock, EndpointPool &board,
              MetricsRegistry &metrics);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    void setCallbacks(Callbacks callbacks);
    /// Batch items that are not urgent leave room for the recent peak of online requests.
    void leaveRoomForPeaks() { m_leavesRoomForPeaks = true; }
    bool leavesRoomForPeaks() const { return m_leavesRoomForPeaks; }

    /// Waits for a slot, which counts as used until release(). Returns a refusal if no endpoint is
    /// available, the queue is too long for the objective, the deadline passes or the caller
    /// disconnects.
    boost::asio::awaitable<SlotOutcome> acquire(OnlineSlotRequest request,
                                                DisconnectSignal &caller);

    /// Takes a slot for a batch item. Returns nothing if the board offers none, or if online
    /// requests for the service are waiting here or at a peer.
    std::optional<Placement> tryAcquireBatch(const PlacementRequest &request);

    /// Releases a slot. The time for which it was held updates the mean of its service.
    void release(const std::string &endpoint, const std::string &service, WorkClass workClass,
                 std::chrono::milliseconds held);

    /// Replaces the number of requests that are waiting at a peer, by service.
    void setPeerQueues(const std::string &peer, std::map<std::string, int> queues);
    void removePeer(const std::string &peer);

    /// Schedules an update, because an input to scheduling has changed: endpoints, the usage of
    /// peers, or the time. Changes in quick succession share one update, because each update
    /// iterates over all endpoints.
    void scheduleUpdate();

    /// Refuses all requests that are waiting.
    void refuseAll();

    /// The number of requests waiting at this instance, by service.
    std::map<std::string, int> queueCounts() const { return m_queue.counts(); }
    /// The load of a service, including the requests that are waiting at peers.
    ServiceLoad load(const std::string &service) const;

private:
    struct Waiter;

    void runUpdate();
    void dispatch();
    void refuseWaiting(const std::string &service);
    void preemptWhereFull();
    FreeSlotMargin batchMargin(const PlacementRequest &request, const ServiceLoad &load) const;
    void sampleLoad();
    void recordSpread(const std::string &service);
    std::chrono::milliseconds meanHold(const std::string &service) const;

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    EndpointPool &m_board;
    MetricsRegistry &m_metrics;
    Callbacks m_callbacks;
    RequestQueue m_queue;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
    std::map<std::string, std::map<std::string, int>> m_peerQueues;
    std::map<std::string, std::chrono::duration<double>> m_meanHold;
    std::map<std::string, BatchMargin> m_batchMargins;
    std::map<std::string, OnlinePeak> m_onlinePeaks;
    bool m_leavesRoomForPeaks = false;
    SteadyTime m_nextSample{};
    std::uint64_t m_nextId = 1;
    boost::asio::steady_timer m_updateTimer;
    bool m_isUpdatePending = false;
};

} // namespace pistachiofall
