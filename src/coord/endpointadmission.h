#pragma once

#include "coord/calloutcome.h"
#include "coord/endpointlimits.h"
#include "coord/endpointload.h"
#include "coord/endpointreachability.h"
#include "coord/onlinearrivals.h"
#include "coord/slotaction.h"
#include "coord/slotrequest.h"
#include "coord/slotusage.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pistachiofall {

/// Admission control at the owner of an endpoint: decides which requests may be in flight there.
/// Engines admit every request and have no priorities, so priority is enforced here: online
/// requests go first, batch requests leave a reserve of slots free, and batch slots are revoked
/// while online requests wait. Not thread safe.
class EndpointAdmission
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// The survey names the members that may use slots granted by a former owner; nothing is
    /// granted until each has reported its slots. It is empty when no slot can have been granted.
    /// Slot ids count up from firstSlotId.
    EndpointAdmission(const EndpointLimits &limits, std::set<std::string> survey,
                      std::uint64_t firstSlotId, TimePoint now);

    /// Grants, queues or refuses a request. The queue keeps the order in which requests began to
    /// wait, so that one that has come from the queue of another endpoint loses no time; a full
    /// queue refuses the one that began last. One whose deadline has already passed gets a slot
    /// only if one is free now, and is refused otherwise.
    SlotActions request(SlotRequest request, TimePoint now);

    /// Removes a waiting request. Unknown tickets are ignored.
    void cancel(std::uint64_t ticket);

    /// Releases a slot. The time to first token is empty if no answer began. Unknown slots are
    /// ignored, since a release may arrive twice or after the slot has expired.
    SlotActions release(std::uint64_t slotId, CallOutcome outcome,
                        std::optional<std::chrono::milliseconds> firstToken, TimePoint now);

    /// Renews a slot for TimeToLive; returns false if the slot is unknown.
    bool renew(std::uint64_t slotId, TimePoint now);

    SlotActions configure(const EndpointLimits &limits, TimePoint now);

    /// Records a member's answer to the survey: the slots of this endpoint that it holds. The
    /// member discards older grants that it has not started to use.
    SlotActions surveyAnswered(const std::string &member, const std::vector<HeldSlot> &held,
                               TimePoint now);

    /// Records that a member has certainly ended, and its requests with it.
    SlotActions surveyMemberEnded(const std::string &member, TimePoint now);

    /// Expires slots and waiting requests. Must be called several times a second.
    SlotActions tick(TimePoint now);

    /// Returns the members that have not answered the survey yet.
    const std::set<std::string> &surveyPending() const { return m_surveyPending; }

    EndpointLoad load() const;
    int inFlight(WorkClass workClass) const;

    /// Returns how slot time was used up to the last event.
    const SlotUsage &usage() const { return m_usage; }

    /// A slot that is not renewed for this long expires.
    static constexpr std::chrono::milliseconds TimeToLive{15000};
    /// A time to first token above this multiple of the objective indicates a cold endpoint.
    static constexpr int LateFactor = 3;
    /// The maximum number of waiting requests of one class, as a multiple of the current limit.
    static constexpr int QueueFactor = 4;
    /// A slot that is not released this long after its revocation is revoked again, because the
    /// notice may be lost or reach the holder before the grant.
    static constexpr std::chrono::milliseconds RevokeAgainAfter{250};

private:
    struct Slot
    {
        WorkClass workClass = WorkClass::Online;
        std::string instance;
        TimePoint expires;
        TimePoint granted;
        bool isRevoked = false;
        TimePoint revocationSent{};
    };

    std::deque<SlotRequest> &queueOf(WorkClass workClass);
    /// Adds the time since the last event to the usage; must be called before any state changes.
    void countUsage(TimePoint now);
    void updateReachability(std::uint64_t slotId, CallOutcome outcome,
                            std::optional<std::chrono::milliseconds> firstToken, TimePoint now);
    void adjustLimit(CallOutcome outcome, std::optional<std::chrono::milliseconds> firstToken);
    void dispatch(TimePoint now, SlotActions &actions);
    void grantFront(std::deque<SlotRequest> &queue, TimePoint now, SlotActions &actions);
    void revokeForWaiting(TimePoint now, SlotActions &actions);
    void revokeAgain(TimePoint now, SlotActions &actions);
    bool isSingleQueue() const;
    int batchLimit(TimePoint now) const;
    void refuseAll(SlotRefusal reason, SlotActions &actions);
    void expireRequests(std::deque<SlotRequest> &queue, TimePoint now, SlotActions &actions);

    EndpointLimits m_limits;
    int m_limit;
    // As of the last event.
    int m_batchLimit;
    OnlineArrivals m_arrivals;
    EndpointReachability m_reachability;
    std::set<std::string> m_surveyPending;
    TimePoint m_surveyEnds;
    std::uint64_t m_nextSlotId;
    std::map<std::uint64_t, Slot> m_slots;
    std::deque<SlotRequest> m_online;
    std::deque<SlotRequest> m_batch;
    SlotUsage m_usage;
    TimePoint m_usageCountedUntil;
};

} // namespace pistachiofall
