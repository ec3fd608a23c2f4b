#pragma once

#include "base/clock.h"
#include "http/serverexchange.h"
#include "metrics/metricsregistry.h"
#include "node/activerequests.h"
#include "node/authenticator.h"
#include "node/forwarder.h"
#include "node/limitclient.h"
#include "settings/settings.h"

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

class ServiceLevels;

/// Answers online requests of callers: chat completions and the routes of plain services.
class OnlineHandler
{
public:
    OnlineHandler(const Clock &clock, MetricsRegistry &metrics, const Settings &settings,
                  Coordination &coordination, Authenticator &authenticator, LimitClient &limits,
                  Forwarder &forwarder, ActiveRequests &requests);

    boost::asio::awaitable<void> handleChat(ServerExchange &exchange);

    /// A request by route; 404 when no route has the path.
    boost::asio::awaitable<void> handleRoute(ServerExchange &exchange);

private:
    struct Request;
    enum class RelayEnd {
        Complete,
        /// The answer of the endpoint broke off.
        Cut,
        /// The caller has gone or did not take the answer in time.
        NotTaken,
    };

    boost::asio::awaitable<void> run(ServerExchange &exchange, Request request);
    boost::asio::awaitable<void> relay(ServerExchange &exchange, OpenAnswer answer,
                                       const RequestCancellation &cancellation,
                                       ServiceLevels &levels);
    boost::asio::awaitable<RelayEnd> relayStream(ServerExchange &exchange, const OpenAnswer &answer,
                                                 ServiceLevels &levels);
    boost::asio::awaitable<RelayEnd> relayWhole(ServerExchange &exchange, const OpenAnswer &answer,
                                                const RequestCancellation &cancellation);
    /// Whether any endpoint has the target. Callers choose model names freely, so that counters for
    /// names without endpoint would take memory without bound.
    /// What a caller is told: a request that was not sent because of its key names the key.
    Error reasonOf(const ForwardError &error, const std::optional<KeyRule> &key);
    bool isServed(const ForwardRequest &request) const;
    /// Whether the request ended for a reason that lies with the caller or its key.
    bool isCallersDoing(const RequestCancellation &cancellation) const;
    boost::asio::awaitable<void> refuse(ServerExchange &exchange, Error error, RunState run);
    void count(const std::string &organisation, const char *outcome);

    const Clock &m_clock;
    MetricsRegistry &m_metrics;
    const Settings &m_settings;
    Coordination &m_coordination;
    Authenticator &m_authenticator;
    LimitClient &m_limits;
    Forwarder &m_forwarder;
    ActiveRequests &m_requests;
};

} // namespace pistachiofall
