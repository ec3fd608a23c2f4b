#include "node/slotclient.h"

#include "wire/body.h"
#include "wire/sleep.h"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// A third of the time to live, so that two lost renewals lose no slot.
constexpr milliseconds RenewInterval{5000};
constexpr milliseconds PeerTimeout{2000};
// What the way to the owner and back may take beyond the wait at the owner.
constexpr milliseconds AskMargin{1000};

Error refusalError(const std::string &endpoint, wire::SlotOutcome outcome)
{
    const std::string name = wire::EnumNameSlotOutcome(outcome);
    const bool isBusy =
            outcome == wire::SlotOutcome::QueueFull || outcome == wire::SlotOutcome::TimedOut;
    return {isBusy ? ErrorCode::Overloaded : ErrorCode::Unavailable,
            "no slot at endpoint '" + endpoint + "': " + name};
}

// An endpoint that accepts no connections has little in flight and would be preferred, so it counts
// as full. One that is being surveyed does not: it has slots in less than a second.
EndpointLoad loadOf(const SlotAnswer &answer)
{
    EndpointLoad load = answer.load;
    if (answer.outcome == wire::SlotOutcome::EndpointOut) {
        load.inFlight = std::max(load.inFlight, load.limit);
        load.revocable = 0;
    }
    return load;
}

} // namespace

SlotClient::SlotClient(asio::any_io_executor executor, const Clock &clock, std::string self,
                       SlotService &service, Membership &membership, PeerClient &peers,
                       EndpointSelector &selector, HeldSlots &held, OwnerOf ownerOf,
                       TableEpoch tableEpoch)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_self(std::move(self))
    , m_service(service)
    , m_membership(membership)
    , m_peers(peers)
    , m_selector(selector)
    , m_held(held)
    , m_ownerOf(std::move(ownerOf))
    , m_tableEpoch(std::move(tableEpoch))
{ }

asio::awaitable<Result<SlotLease>> SlotClient::acquire(std::string endpoint, WorkClass workClass,
                                                       milliseconds maxWait, milliseconds waited)
{
    const std::string owner = m_ownerOf(endpoint);
    const auto now = m_clock.now();
    SlotAsk request{endpoint, workClass, m_self, now + maxWait, now - waited};
    const auto answer = co_await ask(owner, std::move(request), maxWait);
    if (!isOk(answer))
        co_return errorOf(answer);
    const SlotAnswer &slot = valueOf(answer);
    // Who is not the owner knows no load.
    if (slot.outcome != wire::SlotOutcome::NotOwner)
        m_selector.setLoad(endpoint, loadOf(slot), m_clock.now());
    if (slot.outcome != wire::SlotOutcome::Granted)
        co_return refusalError(endpoint, slot.outcome);
    SlotLease lease{endpoint, slot.slotId, workClass};
    if (m_held.add(lease, slot.epoch))
        co_return lease;
    co_return Error{ErrorCode::Unavailable,
                    "the slot at endpoint '" + endpoint + "' is from a former owner"};
}

asio::awaitable<Result<SlotAnswer>> SlotClient::ask(std::string owner, SlotAsk ask,
                                                    milliseconds maxWait)
{
    if (owner == m_self)
        co_return co_await m_service.acquire(std::move(ask));
    const auto member = m_membership.find(owner);
    if (!member)
        co_return Error{ErrorCode::Unavailable,
                        "endpoint '" + ask.endpoint + "' has no owner that is known"};
    wire::SlotRequestT request;
    request.endpoint = ask.endpoint;
    request.workClass =
            ask.workClass == WorkClass::Online ? wire::WorkClass::Online : wire::WorkClass::Batch;
    request.instance = m_self;
    request.maxWaitMs = static_cast<std::uint32_t>(maxWait.count());
    const auto waited = m_clock.now() - ask.waitingSince;
    request.waitedMs = static_cast<std::uint32_t>(duration_cast<milliseconds>(waited).count());
    wire::BodyUnion body = makeBody(std::move(request));
    auto reply = co_await m_peers.call(member->address, std::move(body), maxWait + AskMargin);
    if (!isOk(reply))
        co_return Error{ErrorCode::Unavailable, errorOf(reply).message};
    const wire::SlotReplyT *slot = valueOf(reply).AsSlotReply();
    if (slot == nullptr)
        co_return Error{ErrorCode::Unavailable, "the owner of the endpoint sent another reply"};
    EndpointLoad load{static_cast<int>(slot->inFlight), static_cast<int>(slot->limit),
                      static_cast<int>(slot->queued), static_cast<int>(slot->revocable)};
    load.newestRevocableAge = milliseconds{slot->newestRevocableAgeMs};
    // Zero comes from an owner of an older version.
    if (slot->batchLimit > 0)
        load.batchLimit = static_cast<int>(slot->batchLimit);
    co_return SlotAnswer{slot->outcome, slot->slotId, slot->epoch, load};
}

void SlotClient::release(const SlotLease &lease, CallOutcome outcome,
                         std::optional<milliseconds> firstToken)
{
    m_held.remove(lease.slotId);
    const std::string owner = m_ownerOf(lease.endpoint);
    if (owner == m_self) {
        m_service.release(lease.endpoint, lease.slotId, outcome, firstToken);
        return;
    }
    const auto member = m_membership.find(owner);
    if (!member)
        return;
    wire::SlotReleaseT release;
    release.endpoint = lease.endpoint;
    release.slotId = lease.slotId;
    release.outcome = toWire(outcome);
    // Zero stands for "no answer began", so a first token within the first millisecond counts as
    // one.
    release.firstTokenMs = firstToken
            ? static_cast<std::uint32_t>(std::max<std::int64_t>(1, firstToken->count()))
            : 0;
    asio::co_spawn(m_executor, sendRelease(member->address, std::move(release)), asio::detached);
}

asio::awaitable<void> SlotClient::sendRelease(SocketAddress owner, wire::SlotReleaseT release)
{
    wire::BodyUnion body = makeBody(std::move(release));
    co_await m_peers.call(owner, std::move(body), PeerTimeout);
}

asio::awaitable<void> SlotClient::run()
{
    for (;;) {
        co_await sleepFor(RenewInterval);
        std::map<std::string, std::vector<std::uint64_t>> byOwner;
        for (const auto &[endpoint, ids] : m_held.slotIds()) {
            auto &all = byOwner[m_ownerOf(endpoint)];
            all.insert(all.end(), ids.begin(), ids.end());
        }
        // Read after the owners, so that it is not older than the table that named them.
        const std::uint64_t epoch = m_tableEpoch();
        for (auto &[owner, ids] : byOwner)
            asio::co_spawn(m_executor, renewAt(owner, std::move(ids), epoch), asio::detached);
    }
}

asio::awaitable<void> SlotClient::renewAt(std::string owner, std::vector<std::uint64_t> slotIds,
                                          std::uint64_t epoch)
{
    if (owner == m_self) {
        m_held.cancel(m_service.renew(m_self, slotIds, epoch));
        co_return;
    }
    const auto member = m_membership.find(owner);
    if (!member)
        co_return;
    wire::SlotRenewT renew;
    renew.instance = m_self;
    renew.slotIds = std::move(slotIds);
    renew.epoch = epoch;
    wire::BodyUnion body = makeBody(std::move(renew));
    auto reply = co_await m_peers.call(member->address, std::move(body), PeerTimeout);
    const wire::SlotAckT *ack = isOk(reply) ? valueOf(reply).AsSlotAck() : nullptr;
    // The owner has counted these slots as ended and may have granted them to others.
    if (ack != nullptr)
        m_held.cancel(ack->unknownSlotIds);
}

wire::CallOutcome toWire(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Succeeded:
        return wire::CallOutcome::Succeeded;
    case CallOutcome::Failed:
        return wire::CallOutcome::Failed;
    case CallOutcome::ConnectFailed:
        return wire::CallOutcome::ConnectFailed;
    case CallOutcome::TimedOut:
        return wire::CallOutcome::TimedOut;
    case CallOutcome::Cancelled:
        return wire::CallOutcome::Cancelled;
    }
    return wire::CallOutcome::Failed;
}

CallOutcome fromWire(wire::CallOutcome outcome)
{
    switch (outcome) {
    case wire::CallOutcome::Succeeded:
        return CallOutcome::Succeeded;
    case wire::CallOutcome::Failed:
        return CallOutcome::Failed;
    case wire::CallOutcome::ConnectFailed:
        return CallOutcome::ConnectFailed;
    case wire::CallOutcome::TimedOut:
        return CallOutcome::TimedOut;
    case wire::CallOutcome::Cancelled:
        return CallOutcome::Cancelled;
    }
    return CallOutcome::Failed;
}

} // namespace pistachiofall
