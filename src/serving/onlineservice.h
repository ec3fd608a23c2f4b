#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "fleet/endpointboard.h"
#include "fleet/quotashares.h"
#include "http/endpointclient.h"
#include "http/serverexchange.h"
#include "metrics/metricsregistry.h"
#include "serving/disconnectsignal.h"
#include "serving/onlinerequest.h"
#include "serving/scheduler.h"
#include "serving/servingprotocol.h"

#include <memory>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// What the online service works with; all of it outlives the service.
struct ServingDependencies
{
    const Clock &clock;
    const ServingProtocol &protocol;
    DecisionLog &log;
    MetricsRegistry &metrics;
    EndpointBoard &board;
    QuotaShares &quotas;
    Scheduler &scheduler;
    std::shared_ptr<EndpointClient> client;
    /// Of this instance.
    std::string failureDomain;
};

/// Runs requests of callers at endpoints: gets a slot, sends, passes the answer on, and sends again
/// where the route allows it. Only here are online requests repeated.
class OnlineService
{
public:
    explicit OnlineService(ServingDependencies dependencies);

    /// Answers the exchange.
    boost::asio::awaitable<void> serve(ServerExchange &exchange, OnlineRequest request);

    /// Refuses a request that has certainly not run.
    boost::asio::awaitable<void> refuse(ServerExchange &exchange, const Error &error,
                                        std::chrono::milliseconds retryAfter);

private:
    struct RequestContext;
    struct Attempt;

    boost::asio::awaitable<void> attempt(ServerExchange &exchange, RequestContext &context);
    boost::asio::awaitable<void> send(RequestContext &context, Attempt &attempt);
    boost::asio::awaitable<void> forwardResponse(ServerExchange &exchange, RequestContext &context,
                                                 Attempt &attempt);
    boost::asio::awaitable<void> forwardBuffered(ServerExchange &exchange, RequestContext &context,
                                                 Attempt &attempt);
    boost::asio::awaitable<void> forwardStream(ServerExchange &exchange, RequestContext &context,
                                               Attempt &attempt);
    boost::asio::awaitable<void> respondWithFailure(ServerExchange &exchange,
                                                    RequestContext &context);
    void noteFailure(RequestContext &context, Attempt &attempt, std::string_view reason,
                     bool mayHaveRun);
    bool mayRetry(const RequestContext &context) const;

    ServingDependencies m_dependencies;
};

} // namespace pistachiofall
