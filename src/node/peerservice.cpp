#include "node/peerservice.h"

#include "coord/shardtablecodec.h"
#include "node/slotclient.h"
#include "rules/rulestransfer.h"
#include "wire/body.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

std::vector<std::uint8_t> toBytes(const std::string &text)
{
    return {text.begin(), text.end()};
}

wire::BodyUnion makeAck(std::vector<std::uint64_t> unknownSlotIds = {})
{
    wire::SlotAckT ack;
    ack.unknownSlotIds = std::move(unknownSlotIds);
    return makeBody(std::move(ack));
}

// Rounds up, so that an entry never uses a token before it is due.
std::uint32_t toWireMilliseconds(std::chrono::nanoseconds duration)
{
    const auto rounded = std::chrono::ceil<milliseconds>(duration);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(rounded.count(), 0, 0x7fffffff));
}

} // namespace

PeerService::PeerService(const Clock &clock, Coordination &coordination, SlotService &slots,
                         HeldSlots &held, std::function<void(const std::string &)> jobNotice,
                         RolloutCoordinator &rollouts)
    : m_clock(clock)
    , m_coordination(coordination)
    , m_slots(slots)
    , m_held(held)
    , m_jobNotice(std::move(jobNotice))
    , m_rollouts(rollouts)
{ }

asio::awaitable<wire::BodyUnion> PeerService::handle(const wire::EnvelopeT &envelope,
                                                     PeerRequestContext context)
{
    const wire::BodyUnion &body = envelope.body;
    if (const auto *heartbeat = body.AsHeartbeat())
        co_return makeBody(m_coordination.heartbeatReceived(*heartbeat));
    if (const auto *fetch = body.AsRulesFetch())
        co_return fetchRules(*fetch);
    if (const auto *fetch = body.AsTableFetch())
        co_return fetchTable(*fetch);
    if (const auto *request = body.AsPlaceRequest())
        co_return makeBody(co_await m_coordination.table().release(*request));
    if (const auto *fetch = body.AsListFetch())
        co_return fetchList(*fetch);
    if (const auto *request = body.AsTokenRequest())
        co_return requestTokens(*request);
    if (const auto *request = body.AsSlotRequest())
        co_return co_await requestSlot(*request, std::move(context));
    if (const auto *renew = body.AsSlotRenew())
        co_return makeAck(m_slots.renew(renew->instance, renew->slotIds, renew->epoch));
    if (const auto *release = body.AsSlotRelease()) {
        std::optional<milliseconds> firstToken;
        if (release->firstTokenMs > 0)
            firstToken = milliseconds{release->firstTokenMs};
        m_slots.release(release->endpoint, release->slotId, fromWire(release->outcome), firstToken);
        co_return makeAck();
    }
    if (const auto *revoke = body.AsSlotRevoke()) {
        m_held.cancel(revoke->slotIds);
        co_return makeAck();
    }
    if (const auto *request = body.AsSlotSurvey())
        co_return survey(*request);
    if (const auto *notice = body.AsJobNotice()) {
        m_jobNotice(notice->jobId);
        co_return makeAck();
    }
    if (const auto *report = body.AsRolloutReport())
        co_return makeBody(m_rollouts.report(*report));
    co_return wire::BodyUnion{};
}

wire::BodyUnion PeerService::fetchRules(const wire::RulesFetchT &fetch)
{
    const RulesSnapshot snapshot = m_coordination.rules().snapshot();
    const auto data = encodeRulesData(snapshot, fetch.knownVersion, fetch.part);
    if (!isOk(data))
        return {};
    wire::RulesDataT reply;
    reply.version = snapshot.version;
    reply.payload = toBytes(valueOf(data));
    return makeBody(std::move(reply));
}

wire::BodyUnion PeerService::fetchTable(const wire::TableFetchT &fetch)
{
    const auto table = m_coordination.table().table();
    wire::TableDataT reply;
    if (table) {
        reply.epoch = table->epoch;
        if (table->epoch > fetch.knownEpoch)
            reply.payload = toBytes(encodeShardTable(*table));
    }
    return makeBody(std::move(reply));
}

wire::BodyUnion PeerService::fetchList(const wire::ListFetchT &fetch)
{
    return makeBody(m_coordination.list().dataFor(fetch.knownHash, m_clock.now()));
}

wire::BodyUnion PeerService::requestTokens(const wire::TokenRequestT &request)
{
    wire::TokenReplyT reply;
    reply.epoch = m_coordination.limits().epoch();
    // The asker read a newer table; grants under the older one could exceed the limit.
    m_coordination.limits().announceEpoch(request.epoch);
    const auto now = m_clock.now();
    if (m_coordination.isIsolated(now)) {
        reply.outcome = wire::TokenOutcome::Isolated;
        return makeBody(reply);
    }
    const LimitAnswer answer = m_coordination.limits().request(request.organisation, request.tokens,
                                                               MaxGrantWait, now);
    if (const auto *granted = std::get_if<TokensGranted>(&answer)) {
        reply.outcome = wire::TokenOutcome::Granted;
        reply.waitMs = toWireMilliseconds(granted->due - now);
    } else if (const auto *refused = std::get_if<TokensRefused>(&answer)) {
        reply.outcome = wire::TokenOutcome::Refused;
        reply.retryAfterMs =
                toWireMilliseconds(refused->retryAfter.value_or(std::chrono::hours{1}));
    } else {
        reply.outcome = wire::TokenOutcome::NotHolder;
    }
    return makeBody(reply);
}

asio::awaitable<wire::BodyUnion> PeerService::requestSlot(wire::SlotRequestT request,
                                                          PeerRequestContext context)
{
    wire::SlotReplyT reply;
    const auto now = m_clock.now();
    if (m_coordination.isIsolated(now)) {
        reply.outcome = wire::SlotOutcome::Isolated;
        co_return makeBody(reply);
    }
    SlotAsk ask;
    ask.endpoint = request.endpoint;
    ask.workClass =
            request.workClass == wire::WorkClass::Online ? WorkClass::Online : WorkClass::Batch;
    ask.instance = request.instance;
    ask.deadline = std::min(context.deadline, now + milliseconds{request.maxWaitMs});
    ask.waitingSince = now - milliseconds{request.waitedMs};
    const SlotAnswer answer = co_await m_slots.acquire(ask);
    if (answer.outcome == wire::SlotOutcome::Granted && *context.isCallerGone)
        m_slots.release(ask.endpoint, answer.slotId, CallOutcome::Cancelled, std::nullopt);
    reply.outcome = answer.outcome;
    reply.slotId = answer.slotId;
    reply.epoch = answer.epoch;
    reply.timeToLiveMs = static_cast<std::uint32_t>(EndpointAdmission::TimeToLive.count());
    reply.inFlight = static_cast<std::uint32_t>(answer.load.inFlight);
    reply.limit = static_cast<std::uint32_t>(answer.load.limit);
    reply.queued = static_cast<std::uint32_t>(answer.load.queuedOnline);
    reply.revocable = static_cast<std::uint32_t>(answer.load.revocable);
    reply.newestRevocableAgeMs = toWireMilliseconds(answer.load.newestRevocableAge);
    reply.batchLimit = static_cast<std::uint32_t>(answer.load.batchLimit.value_or(0));
    co_return makeBody(reply);
}

wire::BodyUnion PeerService::survey(const wire::SlotSurveyT &survey)
{
    wire::SlotHoldingsT reply;
    for (const auto &[endpoint, slots] : m_held.survey(survey.endpoints, survey.epoch)) {
        for (const HeldSlot &slot : slots) {
            auto holding = std::make_unique<wire::SlotHoldingT>();
            holding->endpoint = endpoint;
            holding->slotId = slot.slotId;
            holding->workClass = slot.workClass == WorkClass::Online ? wire::WorkClass::Online
                                                                     : wire::WorkClass::Batch;
            reply.holdings.push_back(std::move(holding));
        }
    }
    return makeBody(std::move(reply));
}

} // namespace pistachiofall
