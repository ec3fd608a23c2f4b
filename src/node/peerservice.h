#pragma once

#include "base/clock.h"
#include "node/coordination.h"
#include "node/heldslots.h"
#include "node/rolloutcoordinator.h"
#include "node/slotservice.h"
#include "wire/peerhandler.h"

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Answers the messages of other instances.
class PeerService
{
public:
    /// The notice callback is called with the id of a job that was created or cancelled.
    PeerService(const Clock &clock, Coordination &coordination, SlotService &slots, HeldSlots &held,
                std::function<void(const std::string &)> jobNotice, RolloutCoordinator &rollouts);

    boost::asio::awaitable<wire::BodyUnion> handle(const wire::EnvelopeT &envelope,
                                                   PeerRequestContext context);

private:
    wire::BodyUnion fetchRules(const wire::RulesFetchT &fetch);
    wire::BodyUnion fetchList(const wire::ListFetchT &fetch);
    wire::BodyUnion fetchTable(const wire::TableFetchT &fetch);
    wire::BodyUnion requestTokens(const wire::TokenRequestT &request);
    boost::asio::awaitable<wire::BodyUnion> requestSlot(wire::SlotRequestT request,
                                                        PeerRequestContext context);
    wire::BodyUnion survey(const wire::SlotSurveyT &survey);

    const Clock &m_clock;
    Coordination &m_coordination;
    SlotService &m_slots;
    HeldSlots &m_held;
    const std::function<void(const std::string &)> m_jobNotice;
    RolloutCoordinator &m_rollouts;
};

} // namespace pistachiofall
