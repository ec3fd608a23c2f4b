#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace pistachiofall {

/// The search of one request for a slot: decides how long it probes endpoints for a free slot and
/// when it waits in the queue of one. A request in the queue of a full endpoint could wait while
/// another one is idle, so it waits there for longer only when all are known to be full, and looks
/// at the others again from time to time.
/// Not thread safe.
class SlotSearch
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// The maximum number of full endpoints that are probed before the request waits in a queue.
    /// Each probe costs a round trip to an owner, and models have up to a thousand endpoints.
    static constexpr std::size_t MaxProbes = 4;
    /// The number of endpoints with revocable batch slots that an online request probes before it
    /// waits at one of them. With two to choose from, the newer slot is revoked and less work is
    /// lost.
    static constexpr std::size_t RevocableProbes = 2;
    /// How long a request probes before it waits in a queue, if an owner does not answer or has
    /// just changed. The survey by a new owner takes up to 500 ms plus the time for an answer.
    static constexpr std::chrono::milliseconds MaxProbeTime{1000};
    /// How long a request waits in a queue while another endpoint is not known to be full.
    static constexpr std::chrono::milliseconds MaxShortWait{500};
    /// How long a request waits in one queue while there are other endpoints in service, before it
    /// looks at the others again. That all were full says nothing of what they are a second later.
    static constexpr std::chrono::milliseconds MaxQueueWait{1000};

    /// How long the request may wait at the next endpoint.
    enum class WaitMode {
        /// Not at all: it gets a slot that is free now or is refused.
        Probe,
        /// For up to MaxShortWait.
        ShortWait,
        /// For up to MaxQueueWait; for all the time that is left if no other is in service.
        Queue,
    };

    /// What the request does after a refusal.
    enum class NextStep {
        TryAnother,
        /// Tries another endpoint after a short delay.
        TryAnotherLater,
        GiveUp,
    };

    /// Starts a search. Endpoints that were marked as tried before stay marked.
    void begin(TimePoint now);

    /// Records that the request was refused or failed at an endpoint, so that others are preferred.
    void markTried(const std::string &endpoint) { m_tried.insert(endpoint); }

    /// Returns how the next endpoint is tried, given the number of endpoints in service and whether
    /// all of them are known to be full.
    WaitMode nextWaitMode(std::size_t inService, bool areAllFull, TimePoint now) const;

    /// Returns the endpoints that are not chosen while there are others.
    std::set<std::string> excluded(WaitMode mode) const;

    /// Records that the endpoint refused a probe but would revoke a batch slot, in use for the
    /// given time, if the request waited there. After RevocableProbes such endpoints the request
    /// waits at the one that loses the least work, which takes less time than probing several
    /// others.
    void addRevocable(const std::string &endpoint, std::chrono::milliseconds age);

    /// Returns the endpoint with a revocable slot at which to wait; empty if the selection policy
    /// chooses the endpoint.
    std::optional<std::string> shortWaitTarget(WaitMode mode) const;

    /// Records that an endpoint granted no slot, because it or its queue is full (isOverloaded) or
    /// for another reason, and returns the next step.
    NextStep onRefused(const std::string &endpoint, bool isOverloaded, WaitMode mode);

    /// Records that the time in the queue of the endpoint has ended without a slot. The others are
    /// probed again, also those that were known to be full.
    void onQueueWaitEnded(const std::string &endpoint, TimePoint now);

private:
    std::set<std::string> m_tried;
    TimePoint m_startedAt;
    // Endpoints that had no free slot. The request may still wait in their queues.
    std::set<std::string> m_full;
    // Whether what was known before a wait in a queue is doubted.
    bool m_looksAgain = false;
    std::map<std::string, std::chrono::milliseconds> m_revocable;
};

} // namespace pistachiofall
