#pragma once

#include "coord/shardtable.h"
#include "node/coordination.h"
#include "node/heldslots.h"
#include "node/slotservice.h"
#include "wire/peerclient.h"

#include <chrono>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Keeps the slot service in step with the rules and the shard table, and surveys the members about
/// the endpoints that this instance comes to own. Thread safe.
class EndpointOwnership
{
public:
    /// The callback tells whether an endpoint may get requests as far as its engine is concerned.
    EndpointOwnership(boost::asio::any_io_executor executor,
                      std::chrono::milliseconds firstTokenObjective, QueuePolicy queuePolicy,
                      Coordination &coordination, SlotService &slots, HeldSlots &held,
                      PeerClient &peers, std::function<bool(const std::string &)> isInService);

    /// Call it when the rules or the table have changed.
    void update();

    /// Starts the loops, which run until the executor stops.
    void start();

    static constexpr std::chrono::milliseconds TickInterval{100};
    static constexpr std::chrono::milliseconds SurveyInterval{500};

private:
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<void> survey();
    boost::asio::awaitable<void> surveyMember(std::string member,
                                              std::vector<std::string> endpoints);
    std::set<std::string> surveyMembers(const ShardTable &table);
    void surveySelf(const std::vector<std::string> &endpoints);

    const boost::asio::any_io_executor m_executor;
    const std::chrono::milliseconds m_firstTokenObjective;
    const QueuePolicy m_queuePolicy;
    Coordination &m_coordination;
    SlotService &m_slots;
    HeldSlots &m_held;
    PeerClient &m_peers;
    const std::function<bool(const std::string &)> m_isInService;
    std::mutex m_updateMutex;
};

/// What an endpoint's rule lets it take, and whether it takes new work at all.
EndpointLimits limitsOf(const EndpointRule &endpoint, const RuleSet &rules,
                        std::chrono::milliseconds firstTokenObjective);

} // namespace pistachiofall
