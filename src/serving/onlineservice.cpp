#include "serving/onlineservice.h"

#include "base/stablehash.h"
#include "serving/eventprogress.h"
#include "serving/eventsplitter.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ConnectTimeout{300};
constexpr std::size_t MaxResponseBytes = std::size_t{16} << 20U;
// Limit on attempts that certainly did not run the request. Each costs the caller a round trip.
constexpr int MaxDeclinedAttempts = 4;
// The gap timeout of a stream, as a fraction of the route's gap objective. A stream that is silent
// for longer is resumed at another endpoint, early enough for the next event to meet the objective.
constexpr double StreamGapFraction = 0.75;
// The first byte timeout, as a multiple of the route's objective. After it, a request that may be
// retried is sent to another endpoint.
constexpr int FirstByteTimeoutObjectives = 2;
constexpr milliseconds MinFirstByteTimeout{250};
constexpr milliseconds RetryAfterDeclined{300};
constexpr unsigned MinServerErrorStatus = 500;

milliseconds until(SteadyTime time, SteadyTime now)
{
    return std::chrono::duration_cast<milliseconds>(time - now);
}

bool isSuccessfulStream(const AnswerHead &head)
{
    return head.status < 300 && isEventStream(head);
}

} // namespace

/// The state of one request across its attempts.
struct OnlineService::RequestContext
{
    OnlineRequest request;
    DisconnectSignal caller;
    std::set<std::string> excluded;
    /// Attempts that may have run the request.
    int possibleRuns = 0;
    int declinedAttempts = 0;
    /// Attempts during which the endpoint ended before it answered.
    int endedEndpoints = 0;
    bool isStreaming = false;
    bool isFinished = false;
    std::optional<std::uint64_t> lastEventId;
    std::optional<SlotRefusal> refusal;
    std::string lastFailure;
    /// Cancels the current attempt at the deadline.
    std::optional<asio::steady_timer> timer;
    std::weak_ptr<EndpointCall> call;
};

/// One attempt at an endpoint. The destructor releases its slot.
struct OnlineService::Attempt
{
    Attempt(OnlineService &onlineService, RequestContext &requestContext, Placement chosen)
        : service(onlineService)
        , context(requestContext)
        , placement(std::move(chosen))
        , begin(onlineService.m_dependencies.clock.now())
    { }
    ~Attempt()
    {
        context.caller.onDisconnect(nullptr);
        context.timer->cancel();
        // Closes the connection before the slot is released, so that the endpoint is free by then.
        call.reset();
        const auto held = until(service.m_dependencies.clock.now(), begin);
        service.m_dependencies.scheduler.release(placement.endpoint.id, placement.endpoint.service,
                                                 WorkClass::Online, held);
    }
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    OnlineService &service;
    RequestContext &context;
    Placement placement;
    SteadyTime begin;
    std::shared_ptr<EndpointCall> call;
    AnswerHead responseHead;
    int eventCount = 0;
    /// The times allowed to a stream up to its first event and from one event to the next.
    milliseconds firstEventTimeout{0};
    milliseconds eventTimeout{0};
};

/// Lists a request among the active ones for as long as the object lives.
class OnlineService::ActiveRequest
{
public:
    ActiveRequest(std::set<RequestContext *> &all, RequestContext &context)
        : m_all(all)
        , m_context(context)
    {
        m_all.insert(&m_context);
    }
    ~ActiveRequest() { m_all.erase(&m_context); }
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

private:
    std::set<RequestContext *> &m_all;
    RequestContext &m_context;
};

OnlineService::OnlineService(ServingDependencies dependencies)
    : m_dependencies(std::move(dependencies))
{ }

asio::awaitable<void> OnlineService::refuse(ServerExchange &exchange, const Error &error,
                                            milliseconds retryAfter)
{
    ErrorAnswer answer = makeErrorAnswer(error, RunState::NotRun);
    answer.headers.remove("Retry-After");
    const HttpHeader field = m_dependencies.protocol.retryAfter(retryAfter);
    answer.headers.set(field.name, field.value);
    co_await exchange.respond(std::move(answer));
}

bool OnlineService::mayRetry(const RequestContext &context) const
{
    if (context.isFinished || context.caller.hasDisconnected() || context.refusal
        || context.declinedAttempts >= MaxDeclinedAttempts)
        return false;
    if (m_dependencies.clock.now() >= context.request.deadline)
        return false;
    return context.possibleRuns == 0
            || (isRetryable(*context.request.route)
                && context.possibleRuns < context.request.route->attempts);
}

asio::awaitable<void> OnlineService::serve(ServerExchange &exchange, OnlineRequest request)
{
    RequestContext context;
    context.request = std::move(request);
    const auto executor = co_await asio::this_coro::executor;
    context.timer.emplace(executor);
    exchange.onCallerGone([&context] { context.caller.setDisconnected(); });
    if (const auto wait =
                m_dependencies.promptGuard.findRejection({context.request.metadata.sharedParts, 0}))
        context.refusal = SlotRefusal{SlotRefusalReason::Quarantined, *wait};
    const ActiveRequest active(m_active, context);
    while (mayRetry(context))
        co_await attempt(exchange, context);
    if (!context.isFinished)
        co_await respondWithFailure(exchange, context);
}

void OnlineService::endAll()
{
    m_dependencies.scheduler.refuseAll();
    for (RequestContext *context : m_active) {
        m_dependencies.log.warning("request_cut",
                                   {{"request", context->request.metadata.requestId},
                                    {"runs", context->possibleRuns},
                                    {"streaming", context->isStreaming ? "yes" : "no"}});
        context->request.deadline = m_dependencies.clock.now();
        if (const auto call = context->call.lock())
            call->cancel();
    }
}

bool OnlineService::isOverShare(const OnlineRequest &request)
{
    if (!m_dependencies.sharesRoomFairly || request.organisation.empty())
        return false;
    const auto now = m_dependencies.clock.now();
    if (m_shares.isOutdated(now)) {
        std::map<std::string, OrganisationUse> uses;
        for (const auto &[name, used] :
             m_dependencies.quotas.fleetUsage(m_dependencies.clock.bootNow())) {
            const ServingOrganisation *organisation = request.config->organisation(name);
            if (organisation == nullptr || organisation->ratePerSecond <= 0)
                continue;
            const QuotaLimiter::Limit limit{organisation->ratePerSecond, organisation->burst};
            uses[name] = {used, m_dependencies.quotas.allowedInWindow(limit)};
        }
        m_shares.update(uses, now);
    }
    const bool isOver = m_shares.isOverShare(request.organisation);
    if (isOver)
        m_dependencies.metrics.counter("requests_over_share_total").add();
    return isOver;
}

asio::awaitable<void> OnlineService::attempt(ServerExchange &exchange, RequestContext &context)
{
    const OnlineRequest &request = context.request;
    // If only endpoints that failed before are left, they are tried again.
    if (m_dependencies.board.endpointCount(request.service, context.excluded) == 0)
        context.excluded.clear();
    OnlineSlotRequest slot;
    slot.placement = {request.service, m_dependencies.failureDomain, request.metadata.requestId,
                      context.excluded};
    slot.priority = request.priority;
    slot.startBy = request.arrival + request.route->objective;
    slot.deadline = request.deadline;
    slot.bypassesAdmission = context.possibleRuns > 0;
    slot.isOverShare = [this, &request] { return isOverShare(request); };
    const auto requestTime = m_dependencies.clock.now();
    SlotOutcome outcome =
            co_await m_dependencies.scheduler.acquire(std::move(slot), context.caller);
    if (const auto *refusal = std::get_if<SlotRefusal>(&outcome)) {
        context.refusal = *refusal;
        co_return;
    }
    Attempt attempt(*this, context, std::get<Placement>(std::move(outcome)));
    // The part may have been quarantined while the request waited.
    if (const auto wait = m_dependencies.promptGuard.admit(
                request.metadata.requestId,
                {request.metadata.sharedParts, context.endedEndpoints})) {
        context.refusal = SlotRefusal{SlotRefusalReason::Quarantined, *wait};
        co_return;
    }
    m_dependencies.log.info(
            "request_placed",
            {{"request", request.metadata.requestId},
             {"endpoint", attempt.placement.endpoint.id},
             {"waited_ms", std::int64_t{until(attempt.begin, requestTime).count()}},
             {"in_use", m_dependencies.board.totalUsage(attempt.placement.endpoint.id).total()},
             {"slots", attempt.placement.endpoint.slots},
             {"run", context.possibleRuns + 1}});
    co_await send(context, attempt);
    if (attempt.call)
        co_await forwardResponse(exchange, context, attempt);
}

// Sends the request and classifies the response. Resets the attempt's call if there is no response
// to forward.
asio::awaitable<void> OnlineService::send(RequestContext &context, Attempt &attempt)
{
    const OnlineRequest &request = context.request;
    const auto now = m_dependencies.clock.now();
    const milliseconds remaining = std::max(milliseconds{1}, until(request.deadline, now));
    const FleetEndpoint &endpoint = attempt.placement.endpoint;
    const bool canRetryElsewhere =
            isRetryable(*request.route) && context.possibleRuns + 1 < request.route->attempts;
    ForwardingContext forwarding{request.metadata.requestId,
                                 request.metadata.host,
                                 endpoint.id,
                                 request.organisation,
                                 remaining,
                                 context.lastEventId};
    auto sent = std::make_shared<EndpointRequest>();
    sent->method = request.method;
    sent->target = request.target;
    sent->headers = m_dependencies.protocol.endpointHeaders(request.headers, forwarding);
    sent->body = request.body;
    sent->form = RequestForm::Verbatim;
    CallOptions options;
    options.idempotency =
            isRetryable(*request.route) ? Idempotency::Idempotent : Idempotency::NonIdempotent;
    options.connectTimeout = std::min(ConnectTimeout, remaining);
    options.acceptsEndByClose = true;
    options.maxBodyBytes = MaxResponseBytes;
    options.writeTimeout = remaining;
    options.firstByteTimeout = remaining;
    options.gapTimeout = remaining;
    if (canRetryElsewhere) {
        const milliseconds timeout = std::max(
                MinFirstByteTimeout, request.route->objective * FirstByteTimeoutObjectives);
        options.firstByteTimeout = std::min(remaining, timeout);
        if (request.route->eventGapObjective.count() > 0) {
            const auto maxGap = request.route->eventGapObjective * StreamGapFraction;
            options.gapTimeout = std::chrono::duration_cast<milliseconds>(maxGap);
        }
    }
    attempt.firstEventTimeout = options.firstByteTimeout;
    attempt.eventTimeout = options.gapTimeout;
    attempt.call = m_dependencies.client->prepare(endpoint.address, std::move(sent), options);
    context.call = attempt.call;
    context.caller.onDisconnect([call = attempt.call] { call->cancel(); });
    context.timer->expires_at(request.deadline);
    context.timer->async_wait([call = attempt.call](const boost::system::error_code &error) {
        if (!error)
            call->cancel();
    });
    if (context.possibleRuns > 0 && !request.organisation.empty())
        m_dependencies.quotas.forceAcquire(request.organisation, m_dependencies.clock.bootNow());
    CallResult<AnswerHead> responseHead = co_await attempt.call->send();
    if (!isOk(responseHead)) {
        noteCallFailure(context, attempt, failureOf(responseHead));
        co_return;
    }
    attempt.responseHead = valueOf(std::move(responseHead));
    const ResponseKind kind =
            m_dependencies.protocol.classify(attempt.responseHead, request.metadata.requestId);
    m_dependencies.leavingNotices.recordResponse(endpoint, attempt.responseHead, kind);
    switch (kind) {
    case ResponseKind::Success:
        break;
    case ResponseKind::Failure: {
        // Passed on, the status would be a promise of this instance's.
        if (promisesNotRun(attempt.responseHead.status)) {
            noteFailure(context, attempt, "a refusal without the word that the request has not run",
                        true);
            break;
        }
        const bool isRetried =
                canRetryElsewhere && attempt.responseHead.status >= MinServerErrorStatus;
        if (isRetried)
            noteFailure(context, attempt, "status " + std::to_string(attempt.responseHead.status),
                        true);
        break;
    }
    case ResponseKind::NotRun:
    case ResponseKind::WrongEndpoint:
        co_await takeRefusal(context, attempt, kind);
        break;
    case ResponseKind::Unverified:
        noteFailure(context, attempt,
                    "the response cannot be verified as the endpoint's response to this request",
                    true);
        break;
    }
}

// Reads the rest of a response that says that the request has not run. A broken one does not tell.
asio::awaitable<void> OnlineService::takeRefusal(RequestContext &context, Attempt &attempt,
                                                 ResponseKind kind)
{
    const auto body = co_await attempt.call->readRefusal();
    if (!isOk(body)) {
        noteFailure(context, attempt, "broken refusal: " + failureOf(body).error.message, true);
        co_return;
    }
    if (kind == ResponseKind::NotRun) {
        noteFailure(context, attempt, "declined", false);
        co_return;
    }
    m_dependencies.board.recordFailure(attempt.placement.endpoint.id, m_dependencies.clock.now());
    noteFailure(context, attempt, "another process listens at the address", false);
}

void OnlineService::noteCallFailure(RequestContext &context, Attempt &attempt,
                                    const CallFailure &failure)
{
    const bool isSent = failure.sent == RequestSent::Possibly;
    if (endsConnection(failure) && attempt.eventCount < PromptGuard::AnsweredEvents)
        m_dependencies.promptGuard.endpointEnded(
                context.request.metadata.requestId, context.request.metadata.sharedParts,
                attempt.placement.endpoint, context.endedEndpoints++ > 0);
    if (failure.isStaleConnection) {
        noteStaleConnection(context, attempt, failure);
        return;
    }
    noteFailure(context, attempt, failure.error.message, isSent);
}

// Counts as a run if the request may have reached the endpoint. Nothing is held against the
// endpoint, which may be chosen again.
void OnlineService::noteStaleConnection(RequestContext &context, Attempt &attempt,
                                        const CallFailure &failure)
{
    const bool mayHaveRun = failure.sent == RequestSent::Possibly;
    ++(mayHaveRun ? context.possibleRuns : context.declinedAttempts);
    context.lastFailure = "the kept connection was closed";
    attempt.call.reset();
    m_dependencies.metrics
            .counter("attempts_failed_total", {{"ran", mayHaveRun ? "unknown" : "no"}})
            .add();
    m_dependencies.log.info("connection_stale",
                            {{"request", context.request.metadata.requestId},
                             {"endpoint", attempt.placement.endpoint.id},
                             {"runs", context.possibleRuns}});
}

void OnlineService::noteFailure(RequestContext &context, Attempt &attempt, std::string_view reason,
                                bool mayHaveRun)
{
    context.excluded.insert(attempt.placement.endpoint.id);
    context.lastFailure = reason;
    if (mayHaveRun) {
        ++context.possibleRuns;
        noteAnswer(context, attempt, true);
    } else {
        ++context.declinedAttempts;
    }
    attempt.call.reset();
    if (context.caller.hasDisconnected() || m_dependencies.clock.now() >= context.request.deadline)
        return;
    // An endpoint that declines is healthy: it is full, or this instance's view of it is stale.
    if (mayHaveRun || reason != "declined")
        m_dependencies.board.recordFailure(attempt.placement.endpoint.id,
                                           m_dependencies.clock.now());
    m_dependencies.metrics
            .counter("attempts_failed_total", {{"ran", mayHaveRun ? "unknown" : "no"}})
            .add();
    m_dependencies.log.warning("attempt_failed",
                               {{"request", context.request.metadata.requestId},
                                {"endpoint", attempt.placement.endpoint.id},
                                {"reason", reason},
                                {"may_have_run", mayHaveRun ? "yes" : "no"},
                                {"runs", context.possibleRuns}});
}

// A run that the caller or the deadline ended is no answer.
void OnlineService::noteAnswer(const RequestContext &context, const Attempt &attempt,
                               bool isFailure) const
{
    const auto now = m_dependencies.clock.now();
    if (context.caller.hasDisconnected() || now >= context.request.deadline)
        return;
    const std::chrono::duration<double> took = now - attempt.begin;
    m_dependencies.answers.notify({attempt.placement.endpoint,
                                   stableHash(context.request.route->name), isFailure,
                                   took / std::max(1, attempt.eventCount)});
}

asio::awaitable<void> OnlineService::forwardResponse(ServerExchange &exchange,
                                                     RequestContext &context, Attempt &attempt)
{
    const bool isStream = isSuccessfulStream(attempt.responseHead) && exchange.canStream();
    if (isStream || context.isStreaming)
        co_await forwardStream(exchange, context, attempt);
    else
        co_await forwardBuffered(exchange, context, attempt);
}

asio::awaitable<void> OnlineService::forwardBuffered(ServerExchange &exchange,
                                                     RequestContext &context, Attempt &attempt)
{
    auto body = co_await attempt.call->readAll(MaxResponseBytes);
    if (!isOk(body)) {
        noteCallFailure(context, attempt, failureOf(body));
        co_return;
    }
    if (attempt.responseHead.status < MinServerErrorStatus)
        m_dependencies.board.recordSuccess(attempt.placement.endpoint.id);
    // An error says nothing about what the endpoint does with the prompt.
    if (attempt.responseHead.status < 300)
        m_dependencies.promptGuard.answered(context.request.metadata.sharedParts);
    noteAnswer(context, attempt, attempt.responseHead.status >= MinServerErrorStatus);
    context.isFinished = true;
    const auto completed = m_dependencies.clock.now();
    m_dependencies.metrics.histogram("request_seconds").record(completed - context.request.arrival);
    m_dependencies.metrics
            .counter("requests_total",
                     {{"outcome",
                       attempt.responseHead.status < 300 ? "answered" : "endpoint_error"}})
            .add();
    m_dependencies.log.info(
            "request_answered",
            {{"request", context.request.metadata.requestId},
             {"endpoint", attempt.placement.endpoint.id},
             {"status", static_cast<int>(attempt.responseHead.status)},
             {"took_ms", std::int64_t{until(completed, context.request.arrival).count()}}});
    co_await exchange.respond(attempt.responseHead.status, attempt.responseHead.headers,
                              valueOf(std::move(body)));
}

asio::awaitable<void> OnlineService::forwardStream(ServerExchange &exchange,
                                                   RequestContext &context, Attempt &attempt)
{
    // Once events have been sent to the caller, the response must be a stream again.
    if (context.isStreaming && !isSuccessfulStream(attempt.responseHead)) {
        noteFailure(context, attempt, "the endpoint did not resume the stream", true);
        co_return;
    }
    EventSplitter splitter;
    EventProgress progress(m_dependencies.clock.now(), attempt.firstEventTimeout,
                           attempt.eventTimeout);
    BufferShare partialEvent = m_dependencies.client->makeAnswerShare();
    std::string ready;
    std::optional<std::uint64_t> lastId = context.lastEventId;
    bool isInOrder = true;
    const auto onEvent = [&](const StreamEvent &event) {
        if (event.id && lastId && *event.id <= *lastId)
            isInOrder = false;
        // A stream could not be resumed after data without an id.
        if (!event.id && event.hasData && context.request.route->isResumable)
            isInOrder = false;
        if (event.id)
            lastId = event.id;
        ready += event.bytes;
        progress.recordEvent(m_dependencies.clock.now());
        if (++attempt.eventCount == PromptGuard::AnsweredEvents)
            m_dependencies.promptGuard.answered(context.request.metadata.sharedParts);
    };
    for (;;) {
        auto piece = co_await attempt.call->readSome();
        if (!isOk(piece)) {
            noteCallFailure(context, attempt, failureOf(piece));
            co_return;
        }
        const bool isEnd = valueOf(piece).empty();
        if (!splitter.feed(valueOf(piece), onEvent) || !isInOrder
            || (isEnd && splitter.hasPartialEvent())
            || !partialEvent.resize(heldBytes(splitter.bufferedBytes()))) {
            noteFailure(context, attempt, "the events are malformed, too large or out of order",
                        true);
            co_return;
        }
        if (m_dependencies.clock.now() >= context.request.deadline) {
            noteFailure(context, attempt, "the deadline passed during the stream", true);
            co_return;
        }
        if (!isEnd && progress.isStalled(m_dependencies.clock.now())) {
            noteFailure(context, attempt, "the stream sends bytes but completes no event", true);
            co_return;
        }
        if (!ready.empty() && !context.isStreaming) {
            m_dependencies.metrics.histogram("first_event_seconds")
                    .record(m_dependencies.clock.now() - context.request.arrival);
            context.isStreaming = true;
            const bool isStarted = co_await exchange.startStream(attempt.responseHead.status,
                                                                 attempt.responseHead.headers);
            if (!isStarted) {
                context.caller.setDisconnected();
                co_return;
            }
        }
        if (!ready.empty()) {
            std::string chunk = std::exchange(ready, {});
            context.lastEventId = lastId;
            const bool isWritten = co_await exchange.writeChunk(std::move(chunk));
            if (!isWritten) {
                context.caller.setDisconnected();
                co_return;
            }
            // The time that a slow caller takes does not count against the endpoint.
            progress.recordEvent(m_dependencies.clock.now());
        }
        if (isEnd)
            break;
    }
    if (!context.isStreaming)
        co_await exchange.startStream(attempt.responseHead.status, attempt.responseHead.headers);
    m_dependencies.board.recordSuccess(attempt.placement.endpoint.id);
    m_dependencies.promptGuard.answered(context.request.metadata.sharedParts);
    noteAnswer(context, attempt, false);
    context.isFinished = true;
    const auto completed = m_dependencies.clock.now();
    m_dependencies.metrics.histogram("stream_seconds").record(completed - context.request.arrival);
    m_dependencies.metrics.counter("requests_total", {{"outcome", "streamed"}}).add();
    m_dependencies.log.info(
            "request_streamed",
            {{"request", context.request.metadata.requestId},
             {"endpoint", attempt.placement.endpoint.id},
             {"events", std::uint64_t{lastId.value_or(0)}},
             {"took_ms", std::int64_t{until(completed, context.request.arrival).count()}}});
    co_await exchange.finishStream();
}

asio::awaitable<void> OnlineService::respondWithFailure(ServerExchange &exchange,
                                                        RequestContext &context)
{
    const bool hasTimedOut = m_dependencies.clock.now() >= context.request.deadline;
    std::string outcome = "failed";
    if (context.caller.hasDisconnected())
        outcome = "caller_gone";
    else if (context.refusal)
        outcome = toString(context.refusal->reason);
    else if (context.possibleRuns == 0)
        outcome = "declined";
    m_dependencies.metrics.counter("requests_total", {{"outcome", outcome}}).add();
    m_dependencies.log.warning(
            "request_given_up",
            {{"request", context.request.metadata.requestId},
             {"outcome", outcome},
             {"last_failure", context.lastFailure},
             {"runs", context.possibleRuns},
             {"organisation", context.request.organisation},
             {"service", context.request.service},
             {"config", context.request.config->version()},
             {"waiting", m_dependencies.scheduler.load(context.request.service).waiting},
             {"slots", m_dependencies.scheduler.load(context.request.service).slots},
             {"age_ms",
              std::int64_t{until(m_dependencies.clock.now(), context.request.arrival).count()}}});
    if (context.isStreaming || context.caller.hasDisconnected()) {
        exchange.abort();
        co_return;
    }
    if (context.possibleRuns == 0) {
        const Error error{ErrorCode::Overloaded, "no endpoint accepted the request: " + outcome};
        co_await refuse(exchange, error,
                        context.refusal ? context.refusal->retryAfter : RetryAfterDeclined);
        co_return;
    }
    const Error error{hasTimedOut ? ErrorCode::TimedOut : ErrorCode::OutcomeUnknown,
                      "the request may have run: " + context.lastFailure};
    ErrorAnswer answer = makeErrorAnswer(error, RunState::Unknown);
    co_await exchange.respond(std::move(answer));
}

} // namespace pistachiofall
