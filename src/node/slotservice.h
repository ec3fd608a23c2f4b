#pragma once

#include "base/clock.h"
#include "coord/endpointadmission.h"
#include "metrics/metricsregistry.h"
#include "node/oneshot.h"
#include "node/slotgrant.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// The owner's side of endpoint admission: the endpoints that this instance owns, and the requests
/// that wait for their slots. Each endpoint has its own lock. Thread safe.
class SlotService
{
public:
    /// Tells an instance to give back a batch slot.
    using Revoke = std::function<void(const RevokeSlot &)>;

    /// Slot ids start at a number that differs between owners and incarnations.
    SlotService(const Clock &clock, MetricsRegistry &metrics, std::uint64_t firstSlotId,
                Revoke revoke);

    /// Sets which endpoints this instance owns, and their limits. An endpoint that is new here is
    /// surveyed among the members named before it grants a slot. Waiting requests of endpoints that
    /// are no longer owned are refused.
    void setOwned(const std::map<std::string, EndpointLimits> &endpoints, std::uint64_t epoch,
                  const std::set<std::string> &surveyMembers);

    /// While stopped no slot is granted, for instance when a newer shard table is announced.
    void setGranting(bool isGranting);

    /// Waits for a slot until the deadline of the ask.
    boost::asio::awaitable<SlotAnswer> acquire(SlotAsk ask);

    void release(const std::string &endpoint, std::uint64_t slotId, CallOutcome outcome,
                 std::optional<std::chrono::milliseconds> firstToken);

    /// Prolongs slots and returns those that are known to nobody here. A slot is not reported while
    /// an endpoint waits for the answer of the member that holds it, nor while the sender has a
    /// newer shard table than this instance has taken over.
    std::vector<std::uint64_t> renew(const std::string &member,
                                     const std::vector<std::uint64_t> &slotIds,
                                     std::uint64_t senderEpoch);

    /// The endpoints whose survey waits for answers, by member.
    std::map<std::string, std::vector<std::string>> pendingSurveys() const;
    /// Takes a member's answer for the endpoints that were asked about.
    void surveyAnswered(const std::string &member, const std::vector<std::string> &endpoints,
                        const std::map<std::string, std::vector<HeldSlot>> &held);
    void memberEnded(const std::string &member);

    /// Lets waiting requests and slots run out. Call it several times a second.
    void tick();

    /// The load of each owned endpoint.
    std::map<std::string, EndpointLoad> loads() const;
    std::uint64_t epoch() const;
    /// Whether it is known that no request is in flight at the endpoint; false when this instance
    /// does not own it.
    bool isDrained(const std::string &endpoint) const;

private:
    using Waiter = OneShot<SlotAnswer>;

    struct OwnedEndpoint
    {
        explicit OwnedEndpoint(EndpointAdmission endpointAdmission)
            : admission(std::move(endpointAdmission))
        { }
        std::mutex mutex;
        EndpointAdmission admission;
        /// Set when another instance owns the endpoint, for requests that found it just before.
        bool isDropped = false;
        /// The usage that the counters hold already.
        SlotUsage countedUsage;
        std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
    };
    using OwnedPtr = std::shared_ptr<OwnedEndpoint>;

    OwnedPtr find(const std::string &endpoint) const;
    std::map<std::string, OwnedPtr> all() const;
    /// Carries out actions; the endpoint's lock is held.
    void perform(OwnedEndpoint &owned, SlotActions actions);
    /// Adds what the slots were used for since the last call; the endpoint's lock is held.
    void countUsage(OwnedEndpoint &owned);
    bool deliver(OwnedEndpoint &owned, std::uint64_t ticket, const SlotAnswer &answer);

    const Clock &m_clock;
    Counter &m_granted;
    Counter &m_refused;
    Counter &m_revoked;
    /// Slot time in milliseconds by use; "lost" is contained in the others.
    const std::array<std::pair<SlotUsage::Duration SlotUsage::*, Counter *>, 6> m_usage;
    const std::uint64_t m_firstSlotId;
    const Revoke m_revoke;

    mutable std::mutex m_mutex;
    std::map<std::string, OwnedPtr> m_endpoints;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_ownedCount = 0;
    std::atomic<std::uint64_t> m_nextTicket{1};
    std::atomic<bool> m_isGranting{true};
};

} // namespace pistachiofall
