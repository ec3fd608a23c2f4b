#include "node/endpointownership.h"

#include "wire/body.h"
#include "wire/sleep.h"

#include <map>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds SurveyTimeout{2000};

} // namespace

EndpointLimits limitsOf(const EndpointRule &endpoint, const RuleSet &rules,
                        milliseconds firstTokenObjective)
{
    EndpointLimits limits;
    limits.slots = static_cast<int>(endpoint.slots);
    limits.coldSlots = static_cast<int>(endpoint.coldSlots);
    limits.isAvailable = !endpoint.leaving && !rules.isFailureDomainOut(endpoint.failureDomain);
    limits.firstTokenObjective = firstTokenObjective;
    return limits;
}

EndpointOwnership::EndpointOwnership(asio::any_io_executor executor,
                                     milliseconds firstTokenObjective, QueuePolicy queuePolicy,
                                     Coordination &coordination, SlotService &slots,
                                     HeldSlots &held, PeerClient &peers,
                                     std::function<bool(const std::string &)> isInService)
    : m_executor(std::move(executor))
    , m_firstTokenObjective(firstTokenObjective)
    , m_queuePolicy(queuePolicy)
    , m_coordination(coordination)
    , m_slots(slots)
    , m_held(held)
    , m_peers(peers)
    , m_isInService(std::move(isInService))
{ }

void EndpointOwnership::update()
{
    const std::scoped_lock lock(m_updateMutex);
    const auto table = m_coordination.table().table();
    if (!table)
        return;
    const RuleSet::Ptr rules = m_coordination.rules().rules();
    const InstanceIdentity &self = m_coordination.identity();
    const HolderId selfId{self.name, self.incarnation};
    std::map<std::string, EndpointLimits> owned;
    for (const auto &endpoint : rules->table<EndpointRule>()) {
        if (shardFor(*table, endpoint->name)[FirstPlace].holder == selfId)
            owned[endpoint->name] = limitsOf(*endpoint, *rules, m_firstTokenObjective);
    }
    for (auto &[name, limits] : owned) {
        limits.queuePolicy = m_queuePolicy;
        limits.isAvailable = limits.isAvailable && m_isInService(name);
    }
    m_slots.setOwned(owned, table->epoch, surveyMembers(*table));
}

std::set<std::string> EndpointOwnership::surveyMembers(const ShardTable &table)
{
    // A process that has just started may own endpoints before it has read the instance list or
    // heard from anyone; the table names those that it must not miss.
    std::set<std::string> members;
    for (const Shard &shard : table.shards) {
        for (const ShardPlace &place : shard)
            members.insert(place.holder.instance);
    }
    for (const Member &member : m_coordination.membership().members())
        members.insert(member.name);
    // The requests of a member that has ended have ended with it.
    std::erase_if(members, [this](const std::string &name) {
        return name.empty() || m_coordination.hasEnded(name);
    });
    members.insert(m_coordination.identity().name);
    return members;
}

void EndpointOwnership::start()
{
    asio::co_spawn(m_executor, tick(), asio::detached);
    asio::co_spawn(m_executor, survey(), asio::detached);
}

asio::awaitable<void> EndpointOwnership::tick()
{
    for (;;) {
        co_await sleepFor(TickInterval);
        m_slots.tick();
    }
}

asio::awaitable<void> EndpointOwnership::survey()
{
    for (;;) {
        for (auto &[member, endpoints] : m_slots.pendingSurveys()) {
            if (member == m_coordination.identity().name)
                surveySelf(endpoints);
            else
                asio::co_spawn(m_executor, surveyMember(member, endpoints), asio::detached);
        }
        co_await sleepFor(SurveyInterval);
    }
}

void EndpointOwnership::surveySelf(const std::vector<std::string> &endpoints)
{
    const auto held = m_held.survey(endpoints, m_slots.epoch());
    m_slots.surveyAnswered(m_coordination.identity().name, endpoints, held);
}

asio::awaitable<void> EndpointOwnership::surveyMember(std::string member,
                                                      std::vector<std::string> endpoints)
{
    const auto known = m_coordination.membership().find(member);
    if (!known)
        co_return;
    wire::SlotSurveyT survey;
    survey.endpoints = endpoints;
    survey.epoch = m_slots.epoch();
    wire::BodyUnion body = makeBody(std::move(survey));
    auto reply = co_await m_peers.call(known->address, std::move(body), SurveyTimeout);
    const wire::SlotHoldingsT *holdings = isOk(reply) ? valueOf(reply).AsSlotHoldings() : nullptr;
    if (holdings == nullptr) {
        // A new process on the instance would have answered.
        const bool isAway = !isOk(reply) && errorOf(reply).code != ErrorCode::TimedOut;
        if (known->isDrained && isAway)
            m_slots.surveyAnswered(member, endpoints, {});
        co_return;
    }
    std::map<std::string, std::vector<HeldSlot>> held;
    for (const auto &holding : holdings->holdings) {
        const auto workClass = holding->workClass == wire::WorkClass::Online ? WorkClass::Online
                                                                             : WorkClass::Batch;
        held[holding->endpoint].push_back({holding->slotId, workClass});
    }
    m_slots.surveyAnswered(member, endpoints, held);
}

} // namespace pistachiofall
