#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "coord/calloutcome.h"
#include "coord/endpointselector.h"
#include "node/heldslots.h"
#include "node/membership.h"
#include "node/slotlease.h"
#include "node/slotservice.h"
#include "wire/peerclient.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// The entry's side of endpoint admission: asks the owner of an endpoint, here or on another
/// instance, for a slot, renews it and gives it back. Thread safe.
class SlotClient
{
public:
    /// Names the owner of an endpoint by the newest shard table; empty when there is none.
    using OwnerOf = std::function<std::string(const std::string &endpoint)>;
    /// The epoch of the newest shard table; 0 when there is none.
    using TableEpoch = std::function<std::uint64_t()>;

    SlotClient(boost::asio::any_io_executor executor, const Clock &clock, std::string self,
               SlotService &service, Membership &membership, PeerClient &peers,
               EndpointSelector &selector, HeldSlots &held, OwnerOf ownerOf, TableEpoch tableEpoch);

    /// Waits for a slot; with a wait of zero it takes only one that is free now. The request keeps
    /// its place by the time that it has waited already. Overloaded when
    /// the queue is full or no slot came in time, Unavailable when no owner answers or the endpoint
    /// is out; nothing was sent to the endpoint.
    boost::asio::awaitable<Result<SlotLease>> acquire(std::string endpoint, WorkClass workClass,
                                                      std::chrono::milliseconds maxWait,
                                                      std::chrono::milliseconds waited);

    /// Gives the slot back. Returns at once; a release that is lost lets the slot run out.
    void release(const SlotLease &lease, CallOutcome outcome,
                 std::optional<std::chrono::milliseconds> firstToken);

    /// Renews all slots at regular times. Runs until the executor stops.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<Result<SlotAnswer>> ask(std::string owner, SlotAsk ask,
                                                   std::chrono::milliseconds maxWait);
    boost::asio::awaitable<void> renewAt(std::string owner, std::vector<std::uint64_t> slotIds,
                                         std::uint64_t epoch);
    boost::asio::awaitable<void> sendRelease(SocketAddress owner, wire::SlotReleaseT release);

    const boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    const std::string m_self;
    SlotService &m_service;
    Membership &m_membership;
    PeerClient &m_peers;
    EndpointSelector &m_selector;
    HeldSlots &m_held;
    const OwnerOf m_ownerOf;
    const TableEpoch m_tableEpoch;
};

/// The form of an outcome in a message, and back.
wire::CallOutcome toWire(CallOutcome outcome);
CallOutcome fromWire(wire::CallOutcome outcome);

} // namespace pistachiofall
