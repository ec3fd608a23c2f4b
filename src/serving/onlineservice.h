#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "fleet/endpointpool.h"
#include "fleet/quotalimiter.h"
#include "http/endpointclient.h"
#include "http/serverexchange.h"
#include "metrics/metricsregistry.h"
#include "serving/callerwatch.h"
#include "serving/onlinerequest.h"
#include "serving/scheduler.h"
#include "serving/servingprotocol.h"

#include <memory>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// What the online service works with; all of it outlives the service.
struct ServingParts
{
    const Clock &clock;
    const ServingProtocol &protocol;
    DecisionLog &log;
    MetricsRegistry &metrics;
    EndpointPool &board;
    QuotaLimiter &quotas;
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
    explicit OnlineService(ServingParts parts);

    /// Answers the exchange.
    boost::asio::awaitable<void> serve(ServerExchange &exchange, OnlineRequest request);

    /// Refuses a request that has certainly not run.
    boost::asio::awaitable<void> refuse(ServerExchange &exchange, const Error &error,
                                        std::chrono::milliseconds retryAfter);

private:
    struct Run;
    struct Attempt;

    boost::asio::awaitable<void> attempt(ServerExchange &exchange, Run &run);
    boost::asio::awaitable<void> send(Run &run, Attempt &attempt);
    boost::asio::awaitable<void> passOn(ServerExchange &exchange, Run &run, Attempt &attempt);
    boost::asio::awaitable<void> passOnWhole(ServerExchange &exchange, Run &run, Attempt &attempt);
    boost::asio::awaitable<void> passOnStream(ServerExchange &exchange, Run &run, Attempt &attempt);
    boost::asio::awaitable<void> giveUp(ServerExchange &exchange, Run &run);
    void noteFailure(Run &run, Attempt &attempt, std::string_view reason, bool mayHaveRun);
    bool mayTryAgain(const Run &run) const;

    ServingParts m_parts;
};

} // namespace pistachiofall
