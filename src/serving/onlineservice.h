#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "fleet/endpointpool.h"
#include "fleet/fairshare.h"
#include "fleet/quotalimiter.h"
#include "http/endpointclient.h"
#include "http/serverexchange.h"
#include "metrics/metricsregistry.h"
#include "serving/answerobservers.h"
#include "serving/disconnectsignal.h"
#include "serving/leavingnotices.h"
#include "serving/onlinerequest.h"
#include "serving/promptguard.h"
#include "serving/scheduler.h"
#include "serving/servingprotocol.h"

#include <memory>
#include <set>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// The objects that the services of an instance use. All of them must outlive the services.
struct ServingDependencies
{
    const Clock &clock;
    const ServingProtocol &protocol;
    DecisionLog &log;
    MetricsRegistry &metrics;
    EndpointPool &board;
    QuotaLimiter &quotas;
    Scheduler &scheduler;
    PromptGuard &promptGuard;
    LeavingNotices &leavingNotices;
    const AnswerObservers &answers;
    std::shared_ptr<EndpointClient> client;
    /// The failure domain of this instance.
    std::string failureDomain;
    /// Whether organisations that take more than their share of the room wait behind the others.
    bool sharesRoomFairly = false;
};

/// Runs online requests at endpoints: acquires a slot, sends the request, forwards the response,
/// and retries where the route allows it. No other component retries online requests.
class OnlineService
{
public:
    explicit OnlineService(ServingDependencies dependencies);

    /// Runs the request and sends its response.
    boost::asio::awaitable<void> serve(ServerExchange &exchange, OnlineRequest request);

    /// Ends all requests: those that are not answered yet get an error, streams break off. The
    /// instance is about to end.
    void endAll();

    /// Responds with an error that says that the request has not run and when to retry.
    boost::asio::awaitable<void> refuse(ServerExchange &exchange, const Error &error,
                                        std::chrono::milliseconds retryAfter);

private:
    struct RequestContext;
    struct Attempt;
    class ActiveRequest;

    boost::asio::awaitable<void> attempt(ServerExchange &exchange, RequestContext &context);
    boost::asio::awaitable<void> send(RequestContext &context, Attempt &attempt);
    boost::asio::awaitable<void> takeRefusal(RequestContext &context, Attempt &attempt,
                                             ResponseKind kind);
    boost::asio::awaitable<void> forwardResponse(ServerExchange &exchange, RequestContext &context,
                                                 Attempt &attempt);
    boost::asio::awaitable<void> forwardBuffered(ServerExchange &exchange, RequestContext &context,
                                                 Attempt &attempt);
    boost::asio::awaitable<void> forwardStream(ServerExchange &exchange, RequestContext &context,
                                               Attempt &attempt);
    boost::asio::awaitable<void> respondWithFailure(ServerExchange &exchange,
                                                    RequestContext &context);
    void noteCallFailure(RequestContext &context, Attempt &attempt, const CallFailure &failure);
    void noteStaleConnection(RequestContext &context, Attempt &attempt, const CallFailure &failure);
    void noteFailure(RequestContext &context, Attempt &attempt, std::string_view reason,
                     bool mayHaveRun);
    void noteAnswer(const RequestContext &context, const Attempt &attempt, bool isFailure) const;
    bool mayRetry(const RequestContext &context) const;
    bool isOverShare(const OnlineRequest &request);

    ServingDependencies m_dependencies;
    std::set<RequestContext *> m_active;
    FairShare m_shares;
};

} // namespace pistachiofall
