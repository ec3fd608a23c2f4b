#include "coord/endpointadmission.h"

#include "base/overloaded.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace pistachiofall {

namespace {

bool hasWaitedLonger(const SlotRequest &a, const SlotRequest &b)
{
    return a.waitingSince < b.waitingSince;
}

} // namespace

EndpointAdmission::EndpointAdmission(const EndpointLimits &limits, std::set<std::string> survey,
                                     std::uint64_t firstSlotId, TimePoint now)
    : m_limits(limits)
    , m_limit(limits.coldSlots)
    , m_batchLimit(batchLimit(now))
    , m_surveyPending(std::move(survey))
    , m_surveyEnds(now + TimeToLive)
    , m_nextSlotId(firstSlotId)
    , m_usageCountedUntil(now)
{ }

std::deque<SlotRequest> &EndpointAdmission::queueOf(WorkClass workClass)
{
    const auto onlineFirst = [&](const OnlineFirst &) -> std::deque<SlotRequest> & {
        return workClass == WorkClass::Online ? m_online : m_batch;
    };
    const auto singleQueue = [&](const SingleQueue &) -> std::deque<SlotRequest> & {
        return m_online;
    };
    return std::visit(Overloaded{onlineFirst, singleQueue}, m_limits.queuePolicy);
}

bool EndpointAdmission::isSingleQueue() const
{
    return std::holds_alternative<SingleQueue>(m_limits.queuePolicy);
}

int EndpointAdmission::batchLimit(TimePoint now) const
{
    const auto arrivals = [&](const ArrivalReserve &) {
        return std::max(m_limit - m_arrivals.duringRevocation(now), batchShare(m_limit));
    };
    const auto quarter = [&](const QuarterReserve &) { return batchShare(m_limit); };
    const auto onlineFirst = [&](const OnlineFirst &policy) {
        return std::visit(Overloaded{arrivals, quarter}, policy.reserve);
    };
    const auto singleQueue = [&](const SingleQueue &) { return m_limit; };
    return std::visit(Overloaded{onlineFirst, singleQueue}, m_limits.queuePolicy);
}

SlotActions EndpointAdmission::request(SlotRequest request, TimePoint now)
{
    countUsage(now);
    m_batchLimit = batchLimit(now);
    if (!m_limits.isAvailable)
        return {RefuseSlot{request.ticket, SlotRefusal::EndpointOut}};
    // The survey may take up to TimeToLive; another endpoint serves the request sooner.
    if (!m_surveyPending.empty())
        return {RefuseSlot{request.ticket, SlotRefusal::Surveying}};
    // No request waits for the outcome of a probe in flight: another endpoint serves it sooner.
    if (!m_reachability.maySend(now))
        return {RefuseSlot{request.ticket, SlotRefusal::EndpointOut}};
    auto &queue = queueOf(request.workClass);
    const bool isQueueFull = static_cast<int>(queue.size()) >= QueueFactor * m_limit;
    if (isQueueFull && queue.back().waitingSince <= request.waitingSince)
        return {RefuseSlot{request.ticket, SlotRefusal::QueueFull}};
    // If it were queued until the next tick, it would delay its requester and cause the revocation
    // of a batch slot.
    const bool mayWait = request.deadline > now;
    if (!mayWait && (!queue.empty() || isFull(load(), request.workClass)))
        return {RefuseSlot{request.ticket, SlotRefusal::TimedOut}};
    // A refused request is not counted here but at the endpoint where it gets its slot.
    if (request.workClass == WorkClass::Online)
        m_arrivals.record(now);
    SlotActions actions;
    if (isQueueFull) {
        actions.emplace_back(RefuseSlot{queue.back().ticket, SlotRefusal::QueueFull});
        queue.pop_back();
    }
    const auto place = std::upper_bound(queue.begin(), queue.end(), request, hasWaitedLonger);
    queue.insert(place, std::move(request));
    dispatch(now, actions);
    return actions;
}

void EndpointAdmission::cancel(std::uint64_t ticket)
{
    for (auto *queue : {&m_online, &m_batch})
        std::erase_if(*queue, [ticket](const SlotRequest &r) { return r.ticket == ticket; });
}

SlotActions EndpointAdmission::release(std::uint64_t slotId, CallOutcome outcome,
                                       std::optional<std::chrono::milliseconds> firstToken,
                                       TimePoint now)
{
    countUsage(now);
    SlotActions actions;
    const auto found = m_slots.find(slotId);
    if (found == m_slots.end())
        return actions;
    if (found->second.isRevoked)
        m_usage.lost += now - found->second.granted;
    m_slots.erase(found);
    updateReachability(slotId, outcome, firstToken, now);
    adjustLimit(outcome, firstToken);
    if (m_reachability.isPaused())
        refuseAll(SlotRefusal::EndpointOut, actions);
    dispatch(now, actions);
    return actions;
}

bool EndpointAdmission::renew(std::uint64_t slotId, TimePoint now)
{
    const auto found = m_slots.find(slotId);
    if (found == m_slots.end())
        return false;
    found->second.expires = now + TimeToLive;
    return true;
}

SlotActions EndpointAdmission::configure(const EndpointLimits &limits, TimePoint now)
{
    countUsage(now);
    const bool returns = limits.isAvailable && !m_limits.isAvailable;
    m_limits = limits;
    // An endpoint that was unavailable may have been restarted meanwhile, so it ramps up again.
    m_limit = returns ? limits.coldSlots : std::clamp(m_limit, limits.coldSlots, limits.slots);
    SlotActions actions;
    if (!limits.isAvailable)
        refuseAll(SlotRefusal::EndpointOut, actions);
    dispatch(now, actions);
    return actions;
}

SlotActions EndpointAdmission::surveyAnswered(const std::string &member,
                                              const std::vector<HeldSlot> &held, TimePoint now)
{
    countUsage(now);
    SlotActions actions;
    if (m_surveyPending.erase(member) == 0)
        return actions;
    for (const HeldSlot &slot : held)
        m_slots[slot.slotId] = Slot{slot.workClass, member, now + TimeToLive, now};
    dispatch(now, actions);
    return actions;
}

SlotActions EndpointAdmission::surveyMemberEnded(const std::string &member, TimePoint now)
{
    return surveyAnswered(member, {}, now);
}

SlotActions EndpointAdmission::tick(TimePoint now)
{
    countUsage(now);
    SlotActions actions;
    std::erase_if(m_slots, [now](const auto &entry) { return entry.second.expires <= now; });
    // Slots granted by the former owner that no member reported have expired by now.
    if (now >= m_surveyEnds)
        m_surveyPending.clear();
    expireRequests(m_online, now, actions);
    expireRequests(m_batch, now, actions);
    revokeAgain(now, actions);
    dispatch(now, actions);
    return actions;
}

EndpointLoad EndpointAdmission::load() const
{
    const auto isRevocable = [](const auto &entry) {
        return entry.second.workClass == WorkClass::Batch && !entry.second.isRevoked;
    };
    EndpointLoad load{static_cast<int>(m_slots.size()), m_limit, static_cast<int>(m_online.size())};
    load.batchLimit = m_batchLimit;
    if (!isSingleQueue())
        load.revocable =
                static_cast<int>(std::count_if(m_slots.begin(), m_slots.end(), isRevocable));
    // The slots are ordered by their ids and so by the time of their grants.
    const auto newest = std::find_if(m_slots.rbegin(), m_slots.rend(), isRevocable);
    if (newest != m_slots.rend())
        load.newestRevocableAge = std::chrono::duration_cast<std::chrono::milliseconds>(
                m_usageCountedUntil - newest->second.granted);
    return load;
}

int EndpointAdmission::inFlight(WorkClass workClass) const
{
    return static_cast<int>(
            std::count_if(m_slots.begin(), m_slots.end(), [workClass](const auto &entry) {
                return entry.second.workClass == workClass;
            }));
}

void EndpointAdmission::countUsage(TimePoint now)
{
    if (now <= m_usageCountedUntil)
        return;
    const auto elapsed = now - m_usageCountedUntil;
    m_usageCountedUntil = now;
    int free = m_limit;
    for (const auto &[id, slot] : m_slots) {
        --free;
        if (slot.workClass == WorkClass::Online)
            m_usage.online += elapsed;
        else if (slot.isRevoked)
            m_usage.yielding += elapsed;
        else
            m_usage.batch += elapsed;
    }
    free = std::max(free, 0);
    const int reserved = std::min(free, static_cast<int>(m_batch.size()));
    m_usage.reserved += reserved * elapsed;
    m_usage.idle += (free - reserved) * elapsed;
}

void EndpointAdmission::updateReachability(std::uint64_t slotId, CallOutcome outcome,
                                           std::optional<std::chrono::milliseconds> firstToken,
                                           TimePoint now)
{
    if (outcome == CallOutcome::ConnectFailed)
        m_reachability.onConnectFailed(slotId, now);
    else if (firstToken)
        m_reachability.onReached();
}

void EndpointAdmission::adjustLimit(CallOutcome outcome,
                                    std::optional<std::chrono::milliseconds> firstToken)
{
    if (outcome == CallOutcome::ConnectFailed || outcome == CallOutcome::TimedOut) {
        m_limit = m_limits.coldSlots;
        return;
    }
    if (!firstToken)
        return;
    // An engine that turned cold refuses requests long before the first late answer ends. Single
    // failures may have other causes too, so each one only halves the limit.
    if (outcome == CallOutcome::Failed)
        m_limit = std::max(m_limit / 2, m_limits.coldSlots);
    if (*firstToken > LateFactor * m_limits.firstTokenObjective)
        m_limit = m_limits.coldSlots;
    else if (outcome == CallOutcome::Succeeded && *firstToken <= m_limits.firstTokenObjective)
        m_limit = std::min(m_limit + 1, m_limits.slots);
}

void EndpointAdmission::dispatch(TimePoint now, SlotActions &actions)
{
    m_batchLimit = batchLimit(now);
    if (!m_limits.isAvailable || !m_surveyPending.empty())
        return;
    const auto mayGrant = [&](const std::deque<SlotRequest> &queue, int limit) {
        return !queue.empty() && static_cast<int>(m_slots.size()) < limit
                && m_reachability.maySend(now);
    };
    while (mayGrant(m_online, m_limit))
        grantFront(m_online, now, actions);
    while (m_online.empty() && mayGrant(m_batch, m_batchLimit))
        grantFront(m_batch, now, actions);
    if (!isSingleQueue())
        revokeForWaiting(now, actions);
}

void EndpointAdmission::grantFront(std::deque<SlotRequest> &queue, TimePoint now,
                                   SlotActions &actions)
{
    const SlotRequest request = std::move(queue.front());
    queue.pop_front();
    const std::uint64_t slotId = m_nextSlotId++;
    m_slots[slotId] = Slot{request.workClass, request.instance, now + TimeToLive, now};
    m_reachability.onSent(slotId, now);
    actions.emplace_back(GrantSlot{request.ticket, slotId, TimeToLive});
}

void EndpointAdmission::revokeForWaiting(TimePoint now, SlotActions &actions)
{
    auto pending = std::count_if(m_slots.begin(), m_slots.end(),
                                 [](const auto &entry) { return entry.second.isRevoked; });
    const auto waiting = static_cast<std::ptrdiff_t>(m_online.size());
    // Revoking the newest batch request loses the least work.
    for (auto entry = m_slots.rbegin(); entry != m_slots.rend() && pending < waiting; ++entry) {
        Slot &slot = entry->second;
        if (slot.workClass != WorkClass::Batch || slot.isRevoked)
            continue;
        slot.isRevoked = true;
        slot.revocationSent = now;
        ++pending;
        actions.emplace_back(RevokeSlot{slot.instance, entry->first});
    }
}

void EndpointAdmission::revokeAgain(TimePoint now, SlotActions &actions)
{
    for (auto &[id, slot] : m_slots) {
        if (!slot.isRevoked || now - slot.revocationSent < RevokeAgainAfter)
            continue;
        slot.revocationSent = now;
        actions.emplace_back(RevokeSlot{slot.instance, id});
    }
}

void EndpointAdmission::refuseAll(SlotRefusal reason, SlotActions &actions)
{
    for (auto *queue : {&m_online, &m_batch}) {
        for (const SlotRequest &request : *queue)
            actions.emplace_back(RefuseSlot{request.ticket, reason});
        queue->clear();
    }
}

void EndpointAdmission::expireRequests(std::deque<SlotRequest> &queue, TimePoint now,
                                       SlotActions &actions)
{
    std::erase_if(queue, [&](const SlotRequest &request) {
        if (request.deadline > now)
            return false;
        actions.emplace_back(RefuseSlot{request.ticket, SlotRefusal::TimedOut});
        return true;
    });
}

} // namespace pistachiofall
