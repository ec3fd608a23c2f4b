#include "node/slotservice.h"

#include <algorithm>
#include <utility>

#include <boost/asio/this_coro.hpp>

namespace pistachiofall {

namespace asio = boost::asio;

namespace {

wire::SlotOutcome toOutcome(SlotRefusal refusal)
{
    switch (refusal) {
    case SlotRefusal::QueueFull:
        return wire::SlotOutcome::QueueFull;
    case SlotRefusal::TimedOut:
        return wire::SlotOutcome::TimedOut;
    case SlotRefusal::EndpointOut:
        return wire::SlotOutcome::EndpointOut;
    case SlotRefusal::Surveying:
        return wire::SlotOutcome::Surveying;
    }
    return wire::SlotOutcome::TimedOut;
}

// Each endpoint that this process comes to own gets its own range of slot ids.
constexpr std::uint64_t SlotIdsPerEndpoint = 1ULL << 24U;

Counter &usageCounter(MetricsRegistry &metrics, const std::string &use)
{
    return metrics.counter("slot_milliseconds_total", {{"use", use}});
}

} // namespace

SlotService::SlotService(const Clock &clock, MetricsRegistry &metrics, std::uint64_t firstSlotId,
                         Revoke revoke)
    : m_clock(clock)
    , m_granted(metrics.counter("slots_granted_total"))
    , m_refused(metrics.counter("slots_refused_total"))
    , m_revoked(metrics.counter("slots_revoked_total"))
    , m_usage{{{&SlotUsage::online, &usageCounter(metrics, "online")},
               {&SlotUsage::batch, &usageCounter(metrics, "batch")},
               {&SlotUsage::yielding, &usageCounter(metrics, "yielding")},
               {&SlotUsage::reserved, &usageCounter(metrics, "reserved")},
               {&SlotUsage::idle, &usageCounter(metrics, "idle")},
               {&SlotUsage::lost, &usageCounter(metrics, "lost")}}}
    , m_firstSlotId(firstSlotId)
    , m_revoke(std::move(revoke))
{ }

void SlotService::setOwned(const std::map<std::string, EndpointLimits> &endpoints,
                           std::uint64_t epoch, const std::set<std::string> &surveyMembers)
{
    const auto now = m_clock.now();
    std::vector<OwnedPtr> dropped;
    std::vector<std::pair<OwnedPtr, EndpointLimits>> kept;
    {
        const std::scoped_lock lock(m_mutex);
        m_epoch = epoch;
        for (auto entry = m_endpoints.begin(); entry != m_endpoints.end();) {
            if (endpoints.contains(entry->first)) {
                ++entry;
                continue;
            }
            dropped.push_back(entry->second);
            entry = m_endpoints.erase(entry);
        }
        for (const auto &[name, limits] : endpoints) {
            const auto found = m_endpoints.find(name);
            if (found != m_endpoints.end()) {
                kept.emplace_back(found->second, limits);
                continue;
            }
            const auto firstId = m_firstSlotId + m_ownedCount++ * SlotIdsPerEndpoint;
            m_endpoints[name] = std::make_shared<OwnedEndpoint>(
                    EndpointAdmission(limits, surveyMembers, firstId, now));
        }
    }
    for (const auto &[owned, limits] : kept) {
        const std::scoped_lock lock(owned->mutex);
        perform(*owned, owned->admission.configure(limits, now));
    }
    for (const OwnedPtr &owned : dropped) {
        const std::scoped_lock lock(owned->mutex);
        owned->isDropped = true;
        for (const auto &[ticket, waiter] : std::exchange(owned->waiters, {}))
            waiter->set({wire::SlotOutcome::NotOwner, 0, epoch, {}});
    }
}

void SlotService::setGranting(bool isGranting)
{
    m_isGranting = isGranting;
}

asio::awaitable<SlotAnswer> SlotService::acquire(SlotAsk ask)
{
    const OwnedPtr owned = find(ask.endpoint);
    SlotAnswer notOwner{wire::SlotOutcome::NotOwner, 0, epoch(), {}};
    if (!owned || !m_isGranting)
        co_return notOwner;
    const std::uint64_t ticket = m_nextTicket++;
    auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
    {
        const std::scoped_lock lock(owned->mutex);
        if (owned->isDropped)
            co_return notOwner;
        owned->waiters[ticket] = waiter;
        SlotRequest request{ticket, ask.workClass, ask.instance, ask.deadline, ask.waitingSince};
        perform(*owned, owned->admission.request(std::move(request), m_clock.now()));
    }
    // The tick refuses the ticket at its deadline; the margin lets that refusal arrive.
    constexpr std::chrono::milliseconds TickMargin{500};
    const auto answer = co_await waiter->wait(ask.deadline + TickMargin);
    if (answer)
        co_return *answer;
    const std::scoped_lock lock(owned->mutex);
    owned->waiters.erase(ticket);
    owned->admission.cancel(ticket);
    m_refused.add();
    co_return SlotAnswer{wire::SlotOutcome::TimedOut, 0, epoch(), owned->admission.load()};
}

void SlotService::release(const std::string &endpoint, std::uint64_t slotId, CallOutcome outcome,
                          std::optional<std::chrono::milliseconds> firstToken)
{
    const OwnedPtr owned = find(endpoint);
    if (!owned)
        return;
    const std::scoped_lock lock(owned->mutex);
    perform(*owned, owned->admission.release(slotId, outcome, firstToken, m_clock.now()));
}

std::vector<std::uint64_t> SlotService::renew(const std::string &member,
                                              const std::vector<std::uint64_t> &slotIds,
                                              std::uint64_t senderEpoch)
{
    // Read before the endpoints, so that a table that is taken over in between counts as missing.
    bool isBehind = senderEpoch > epoch();
    const auto endpoints = all();
    // A process that was just started may have the table and no rules yet.
    isBehind = isBehind || endpoints.empty();
    std::vector<std::uint64_t> unknown = slotIds;
    const auto now = m_clock.now();
    bool isSurveyed = false;
    for (const auto &[name, owned] : endpoints) {
        const std::scoped_lock lock(owned->mutex);
        EndpointAdmission &admission = owned->admission;
        std::erase_if(unknown, [&](std::uint64_t id) { return admission.renew(id, now); });
        isSurveyed = isSurveyed || owned->admission.surveyPending().contains(member);
    }
    // An instance that has not taken its endpoints over yet will find the slots in its survey; to
    // call them unknown would end requests that are well.
    return isSurveyed || isBehind ? std::vector<std::uint64_t>{} : unknown;
}

std::map<std::string, std::vector<std::string>> SlotService::pendingSurveys() const
{
    std::map<std::string, std::vector<std::string>> pending;
    for (const auto &[name, owned] : all()) {
        const std::scoped_lock lock(owned->mutex);
        for (const std::string &member : owned->admission.surveyPending())
            pending[member].push_back(name);
    }
    return pending;
}

void SlotService::surveyAnswered(const std::string &member,
                                 const std::vector<std::string> &endpoints,
                                 const std::map<std::string, std::vector<HeldSlot>> &held)
{
    for (const std::string &endpoint : endpoints) {
        const OwnedPtr owned = find(endpoint);
        if (!owned)
            continue;
        const auto found = held.find(endpoint);
        const std::scoped_lock lock(owned->mutex);
        perform(*owned,
                owned->admission.surveyAnswered(
                        member, found == held.end() ? std::vector<HeldSlot>{} : found->second,
                        m_clock.now()));
    }
}

void SlotService::memberEnded(const std::string &member)
{
    for (const auto &[name, owned] : all()) {
        const std::scoped_lock lock(owned->mutex);
        perform(*owned, owned->admission.surveyMemberEnded(member, m_clock.now()));
    }
}

void SlotService::tick()
{
    for (const auto &[name, owned] : all()) {
        const std::scoped_lock lock(owned->mutex);
        perform(*owned, owned->admission.tick(m_clock.now()));
        countUsage(*owned);
    }
}

void SlotService::countUsage(OwnedEndpoint &owned)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const SlotUsage &usage = owned.admission.usage();
    for (const auto &[use, counter] : m_usage) {
        const auto total = duration_cast<milliseconds>(usage.*use);
        const auto counted = duration_cast<milliseconds>(owned.countedUsage.*use);
        counter->add(static_cast<std::uint64_t>((total - counted).count()));
    }
    owned.countedUsage = usage;
}

std::map<std::string, EndpointLoad> SlotService::loads() const
{
    std::map<std::string, EndpointLoad> result;
    for (const auto &[name, owned] : all()) {
        const std::scoped_lock lock(owned->mutex);
        result[name] = owned->admission.load();
    }
    return result;
}

bool SlotService::isDrained(const std::string &endpoint) const
{
    const OwnedPtr owned = find(endpoint);
    if (!owned)
        return false;
    const std::scoped_lock lock(owned->mutex);
    return owned->admission.surveyPending().empty() && owned->admission.load().inFlight == 0;
}

std::uint64_t SlotService::epoch() const
{
    const std::scoped_lock lock(m_mutex);
    return m_epoch;
}

SlotService::OwnedPtr SlotService::find(const std::string &endpoint) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? nullptr : found->second;
}

std::map<std::string, SlotService::OwnedPtr> SlotService::all() const
{
    const std::scoped_lock lock(m_mutex);
    return m_endpoints;
}

void SlotService::perform(OwnedEndpoint &owned, SlotActions actions)
{
    // A grant that its requester no longer waits for is given back, which may lead to new actions.
    while (!actions.empty()) {
        SlotActions next;
        for (const SlotAction &action : actions) {
            if (const auto *grant = std::get_if<GrantSlot>(&action)) {
                SlotAnswer answer{wire::SlotOutcome::Granted, grant->slotId, epoch(),
                                  owned.admission.load()};
                if (!m_isGranting)
                    answer.outcome = wire::SlotOutcome::NotOwner;
                if (deliver(owned, grant->ticket, answer) && m_isGranting) {
                    m_granted.add();
                    continue;
                }
                SlotActions freed = owned.admission.release(grant->slotId, CallOutcome::Cancelled,
                                                            std::nullopt, m_clock.now());
                std::move(freed.begin(), freed.end(), std::back_inserter(next));
            } else if (const auto *refusal = std::get_if<RefuseSlot>(&action)) {
                m_refused.add();
                deliver(owned, refusal->ticket,
                        {toOutcome(refusal->reason), 0, epoch(), owned.admission.load()});
            } else if (const auto *revoke = std::get_if<RevokeSlot>(&action)) {
                m_revoked.add();
                m_revoke(*revoke);
            }
        }
        actions = std::move(next);
    }
}

bool SlotService::deliver(OwnedEndpoint &owned, std::uint64_t ticket, const SlotAnswer &answer)
{
    const auto found = owned.waiters.find(ticket);
    if (found == owned.waiters.end())
        return false;
    const auto waiter = found->second;
    owned.waiters.erase(found);
    return waiter->set(answer);
}

} // namespace pistachiofall
