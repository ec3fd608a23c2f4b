#include "node/forwarder.h"

#include "node/endpointcandidates.h"
#include "wire/sleep.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// After an owner that does not answer or that has just changed.
constexpr milliseconds SlotRetryInterval{100};
// A status from which on the endpoint, not the request, is at fault.
constexpr unsigned FirstServerError = 500;

CallOutcome outcomeOf(const CallFailure &failure)
{
    if (failure.stage == CallStage::Connect)
        return CallOutcome::ConnectFailed;
    // Says nothing of the endpoint.
    if (failure.isStaleConnection)
        return CallOutcome::Cancelled;
    if (failure.error.code == ErrorCode::TimedOut)
        return CallOutcome::TimedOut;
    if (failure.error.code == ErrorCode::Cancelled)
        return CallOutcome::Cancelled;
    return CallOutcome::Failed;
}

// The error of a request after a further attempt: it may have run if any of its attempts may have.
ForwardError combined(const ForwardError &earlier, ForwardError latest)
{
    if (earlier.run == RunState::Unknown)
        latest.run = RunState::Unknown;
    return latest;
}

ForwardError cancelledError(CancelReason reason, RunState run)
{
    switch (reason) {
    case CancelReason::CallerGone:
        return {{ErrorCode::Cancelled, "the caller has gone"}, run};
    case CancelReason::KeyInvalid:
        return {{ErrorCode::Unauthenticated, "the key has been withdrawn or can not be checked"},
                run};
    case CancelReason::SlotRevoked:
        return {{ErrorCode::Cancelled, "the slot was taken back"}, run};
    case CancelReason::JobStopped:
        return {{ErrorCode::Cancelled, "the job was stopped"}, run};
    }
    return {{ErrorCode::Cancelled, "cancelled"}, run};
}

milliseconds waitOf(SlotSearch::WaitMode ask, milliseconds left, std::size_t inService)
{
    switch (ask) {
    case SlotSearch::WaitMode::Probe:
        return milliseconds{0};
    case SlotSearch::WaitMode::ShortWait:
        return std::min(left, SlotSearch::MaxShortWait);
    case SlotSearch::WaitMode::Queue:
        return inService == 1 ? left : std::min(left, SlotSearch::MaxQueueWait);
    }
    return left;
}

// Whether the answer is read to its end before it is passed on: then a broken one can be replaced
// by that of another run. Items are run again by their job.
bool isReadWhole(const ForwardRequest &request, const AnswerHead &head)
{
    return request.workClass == WorkClass::Online && request.idempotency == Idempotency::Idempotent
            && !isEventStream(head);
}

// Appends the rest of the body to its beginning.
asio::awaitable<std::optional<CallFailure>> readRest(EndpointCall &call, std::string &body)
{
    if (body.empty())
        co_return std::nullopt;
    CallResult<std::string> rest = co_await call.readAll(MaxWholeAnswerBytes);
    if (!isOk(rest))
        co_return failureOf(rest);
    body += valueOf(rest);
    co_return std::nullopt;
}

} // namespace

/// How one attempt at one endpoint went.
struct Forwarder::Attempt
{
    std::optional<OpenAnswer> answer;
    ForwardError error;
    bool mayRetry = false;
};

Forwarder::Forwarder(const Clock &clock, MetricsRegistry &metrics,
                     const DeadlineSettings &deadlines, Coordination &coordination,
                     SlotClient &slots, HeldSlots &held, EndpointSelector &selector,
                     std::shared_ptr<EndpointClient> client)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_deadlines(deadlines)
    , m_coordination(coordination)
    , m_slots(slots)
    , m_held(held)
    , m_selector(selector)
    , m_client(std::move(client))
    , m_brokenAnswers(clock)
    , m_retries(metrics.counter("retries_total", {{"outcome", "sent"}}))
    , m_retriesDenied(metrics.counter("retries_total", {{"outcome", "denied"}}))
{ }

asio::awaitable<Forwarder::Outcome>
Forwarder::open(ForwardRequest request, std::shared_ptr<RequestCancellation> cancellation)
{
    m_budget.recordRequest(m_clock.now());
    const auto deadline = m_clock.now() + request.slotWait;
    SlotSearch search;
    ForwardError last;
    for (;;) {
        auto lease = co_await findSlot(request, search, deadline, *cancellation);
        if (!isOk(lease)) {
            // An earlier attempt may have run; its error says more than the missing slot.
            if (last.error.message.empty())
                co_return ForwardError{errorOf(lease), RunState::NotRun};
            co_return last;
        }
        Attempt result = co_await attempt(request, valueOf(lease), cancellation);
        if (result.answer)
            co_return std::move(*result.answer);
        last = combined(last, std::move(result.error));
        if (cancellation->reason())
            co_return cancelledError(*cancellation->reason(), last.run);
        if (!result.mayRetry)
            co_return last;
        if (!m_budget.tryRetry(m_clock.now())) {
            m_retriesDenied.add();
            co_return last;
        }
        m_retries.add();
        search.markTried(valueOf(lease).endpoint);
    }
}

void Forwarder::recordBroken(const OpenAnswer &answer, const Error &error)
{
    m_brokenAnswers.record(answer.requestId, answer.endpoint, error);
}

void Forwarder::finish(const OpenAnswer &answer, CallOutcome outcome)
{
    m_slots.release(answer.lease, outcome, answer.firstToken);
}

asio::awaitable<Result<SlotLease>> Forwarder::findSlot(const ForwardRequest &request,
                                                       SlotSearch &search, SteadyTime deadline,
                                                       const RequestCancellation &cancellation)
{
    Error last{ErrorCode::Unavailable, "no endpoint of " + targetName(request) + " is in service"};
    const auto begin = m_clock.now();
    search.begin(begin);
    for (;;) {
        if (cancellation.reason())
            co_return cancelledError(*cancellation.reason(), RunState::NotRun).error;
        const auto now = m_clock.now();
        const auto left = duration_cast<milliseconds>(deadline - now);
        if (left <= milliseconds{0})
            co_return last;
        const RuleSet::Ptr rules = m_coordination.rules().rules();
        const auto endpoints = request.model.empty() ? rules->endpointsOfService(request.service)
                                                     : rules->endpointsOfModel(request.model);
        if (endpoints.empty())
            co_return Error{ErrorCode::NotFound, targetName(request) + " has no endpoint"};
        const auto inService = endpointCandidates(endpoints, *rules, {});
        const auto ask = search.nextWaitMode(
                inService.size(), m_selector.areAllFull(inService, now, request.workClass), now);
        const auto candidates = endpointCandidates(endpoints, *rules, search.excluded(ask));
        auto chosen = search.shortWaitTarget(ask);
        if (!chosen)
            chosen = m_selector.choose(candidates, now, selectionOf(request));
        if (!chosen) {
            co_await sleepFor(SlotRetryInterval);
            continue;
        }
        const auto wait = waitOf(ask, left, inService.size());
        auto lease = co_await m_slots.acquire(*chosen, request.workClass, wait,
                                              duration_cast<milliseconds>(now - begin));
        if (isOk(lease))
            co_return lease;
        last = errorOf(lease);
        const bool isQueued = ask == SlotSearch::WaitMode::Queue;
        if (isQueued && last.code == ErrorCode::Overloaded && m_clock.now() - now >= wait) {
            search.onQueueWaitEnded(*chosen, m_clock.now());
            continue;
        }
        const auto next = search.onRefused(*chosen, last.code == ErrorCode::Overloaded, ask);
        const bool mayRevoke =
                ask == SlotSearch::WaitMode::Probe && request.workClass == WorkClass::Online;
        const auto age = m_selector.revocableAge(*chosen, m_clock.now());
        if (mayRevoke && age)
            search.addRevocable(*chosen, *age);
        if (next == SlotSearch::NextStep::GiveUp)
            co_return last;
        if (next == SlotSearch::NextStep::TryAnotherLater)
            co_await sleepFor(SlotRetryInterval);
    }
}

asio::awaitable<Forwarder::Attempt>
Forwarder::attempt(const ForwardRequest &request, SlotLease lease,
                   std::shared_ptr<RequestCancellation> cancellation)
{
    Attempt result;
    const RuleSet::Ptr rules = m_coordination.rules().rules();
    const EndpointRule *endpoint = rules->endpoint(lease.endpoint);
    if (endpoint == nullptr) {
        m_slots.release(lease, CallOutcome::Cancelled, std::nullopt);
        result.error = {{ErrorCode::Unavailable, "endpoint '" + lease.endpoint + "' is gone"},
                        RunState::NotRun};
        result.mayRetry = true;
        co_return result;
    }
    auto call = m_client->prepare(endpoint->address, request.request, optionsFor(request));
    if (request.mayStart && !request.mayStart()) {
        m_slots.release(lease, CallOutcome::Cancelled, std::nullopt);
        result.error = {{ErrorCode::Cancelled, "the request may not start now"}, RunState::NotRun};
        co_return result;
    }
    const auto revoke = [cancellation] { cancellation->cancel(CancelReason::SlotRevoked); };
    if (!m_held.use(lease.slotId, revoke) || !cancellation->setCall(call)) {
        m_slots.release(lease, CallOutcome::Cancelled, std::nullopt);
        result.error = {{ErrorCode::Unavailable, "the slot is no longer valid"}, RunState::NotRun};
        result.mayRetry = true;
        co_return result;
    }
    const auto begin = m_clock.now();
    CallResult<AnswerHead> head = co_await call->send();
    std::optional<CallFailure> failure;
    std::string piece;
    if (isOk(head)) {
        CallResult<std::string> first = co_await call->readSome();
        if (isOk(first))
            piece = valueOf(std::move(first));
        else
            failure = failureOf(first);
    } else {
        failure = failureOf(head);
    }
    const auto elapsed = duration_cast<milliseconds>(m_clock.now() - begin);
    if (!failure && isReadWhole(request, valueOf(head)))
        failure = co_await readRest(*call, piece);
    const std::string requestId(request.request->headers.get("X-Request-Id"));
    if (failure) {
        m_brokenAnswers.record(requestId, lease.endpoint, failure->error);
        m_slots.release(lease, outcomeOf(*failure), std::nullopt);
        const bool hasRun = failure->sent == RequestSent::Possibly;
        result.error = {failure->error, hasRun ? RunState::Unknown : RunState::NotRun};
        const bool mayRunAgain = request.idempotency == Idempotency::Idempotent
                && failure->error.code != ErrorCode::TooLarge;
        result.mayRetry = !hasRun || mayRunAgain;
        co_return result;
    }
    AnswerHead answerHead = valueOf(std::move(head));
    if (answerHead.status >= FirstServerError && request.idempotency == Idempotency::Idempotent) {
        m_slots.release(lease, CallOutcome::Failed, elapsed);
        result.error = {{ErrorCode::Unavailable,
                         "endpoint '" + lease.endpoint + "' answered with status "
                                 + std::to_string(answerHead.status)},
                        RunState::Unknown};
        result.mayRetry = true;
        co_return result;
    }
    m_metrics.histogram("first_token_seconds", {{"target", targetName(request)}}).record(elapsed);
    result.answer =
            OpenAnswer{std::move(call), lease,    std::move(answerHead), std::move(piece), elapsed,
                       lease.endpoint,  requestId};
    co_return result;
}

CallOptions Forwarder::optionsFor(const ForwardRequest &request) const
{
    CallOptions options;
    options.trafficClass =
            request.workClass == WorkClass::Online ? TrafficClass::Online : TrafficClass::Batch;
    options.idempotency = request.idempotency;
    options.connectTimeout = m_deadlines.connect;
    options.firstByteTimeout = m_deadlines.firstByte;
    options.gapTimeout = m_deadlines.chunkGap;
    return options;
}

SelectionRequest Forwarder::selectionOf(const ForwardRequest &request)
{
    return {request.workClass, request.prefix};
}

std::string Forwarder::targetName(const ForwardRequest &request)
{
    return request.model.empty() ? "service '" + request.service + "'"
                                 : "model '" + request.model + "'";
}

} // namespace pistachiofall
