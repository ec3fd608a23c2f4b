#pragma once

#include "base/clock.h"
#include "http/serverexchange.h"
#include "metrics/metricsregistry.h"
#include "node/activerequests.h"
#include "node/coordination.h"
#include "node/rolloutcoordinator.h"
#include "node/slotservice.h"

#include <atomic>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Answers on the admin listener: /healthz, /readyz, /metrics and /status.
class AdminHandler
{
public:
    AdminHandler(const Clock &clock, MetricsRegistry &metrics, Coordination &coordination,
                 const SlotService &slots, const ActiveRequests &requests,
                 RolloutCoordinator &rollouts);

    boost::asio::awaitable<void> handle(ServerExchange &exchange);

    /// From now on /readyz fails, so that the balancer sends no new connections.
    void setStopping() { m_isStopping = true; }

    /// Empty when the instance can serve, else the reason why not.
    std::string notReadyReason() const;

private:
    struct Answer
    {
        unsigned status = 500;
        std::string contentType;
        std::string body;
    };

    Answer answerTo(std::string_view path) const;
    std::string statusJson() const;

    const Clock &m_clock;
    MetricsRegistry &m_metrics;
    Coordination &m_coordination;
    const SlotService &m_slots;
    const ActiveRequests &m_requests;
    RolloutCoordinator &m_rollouts;
    std::atomic<bool> m_isStopping{false};
};

} // namespace pistachiofall
