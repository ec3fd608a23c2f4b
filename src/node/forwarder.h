#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "coord/endpointselector.h"
#include "coord/retrybudget.h"
#include "coord/slotsearch.h"
#include "http/answerhead.h"
#include "http/endpointclient.h"
#include "http/erroranswer.h"
#include "metrics/metricsregistry.h"
#include "node/brokenanswerlog.h"
#include "node/coordination.h"
#include "node/forwardrequest.h"
#include "node/heldslots.h"
#include "node/requestcancellation.h"
#include "node/slotclient.h"
#include "settings/deadlinesettings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// The longest body of an answer that is passed on whole.
inline constexpr std::size_t MaxWholeAnswerBytes = std::size_t{64} << 20U;

/// A call to an endpoint whose answer has begun, and the slot it uses. finish() has to be called
/// once the answer has ended, in whatever way.
struct OpenAnswer
{
    std::shared_ptr<EndpointCall> call;
    SlotLease lease;
    AnswerHead head;
    /// The beginning of the body, or all of it; empty when the body is.
    std::string firstPiece;
    std::chrono::milliseconds firstToken{0};
    std::string endpoint;
    std::string requestId;
};

/// Why a request has no answer, and what is known about its run.
struct ForwardError
{
    Error error;
    RunState run = RunState::NotRun;
};

/// Sends requests to endpoints: chooses one, gets a slot, sends, and tries another endpoint while
/// that is safe and within the retry budget. Only here are requests retried, so retries do not
/// multiply across layers. Thread safe.
class Forwarder
{
public:
    using Outcome = std::variant<OpenAnswer, ForwardError>;

    Forwarder(const Clock &clock, MetricsRegistry &metrics, const DeadlineSettings &deadlines,
              Coordination &coordination, SlotClient &slots, HeldSlots &held,
              EndpointSelector &selector, std::shared_ptr<EndpointClient> client);

    /// Runs until the first piece of an answer's body has come, or all of it when an online request
    /// may run again and its answer is no stream of events.
    boost::asio::awaitable<Outcome> open(ForwardRequest request,
                                         std::shared_ptr<RequestCancellation> cancellation);

    /// Logs why the rest of the answer can not be read.
    void recordBroken(const OpenAnswer &answer, const Error &error);

    /// Gives the slot back.
    void finish(const OpenAnswer &answer, CallOutcome outcome);

private:
    struct Attempt;

    boost::asio::awaitable<Result<SlotLease>> findSlot(const ForwardRequest &request,
                                                       SlotSearch &search, SteadyTime deadline,
                                                       const RequestCancellation &cancellation);
    boost::asio::awaitable<Attempt> attempt(const ForwardRequest &request, SlotLease lease,
                                            std::shared_ptr<RequestCancellation> cancellation);
    CallOptions optionsFor(const ForwardRequest &request) const;
    static SelectionRequest selectionOf(const ForwardRequest &request);
    static std::string targetName(const ForwardRequest &request);

    const Clock &m_clock;
    MetricsRegistry &m_metrics;
    const DeadlineSettings m_deadlines;
    Coordination &m_coordination;
    SlotClient &m_slots;
    HeldSlots &m_held;
    EndpointSelector &m_selector;
    const std::shared_ptr<EndpointClient> m_client;
    RetryBudget m_budget;
    BrokenAnswerLog m_brokenAnswers;
    Counter &m_retries;
    Counter &m_retriesDenied;
};

} // namespace pistachiofall
