#include "serving/onlineservice.h"

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
constexpr std::size_t MaxAnswerBytes = std::size_t{16} << 20U;
// Sends of one request that certainly did not run; each of them costs its caller a round trip.
constexpr int MostDeclinedSends = 4;
// A stream whose endpoint is silent for this part of the longest pause goes on elsewhere, so that
// the events there come before the pause is over.
constexpr double StreamSilence = 0.75;
// An answer that has not begun after so many objectives is asked for elsewhere, if it may be.
constexpr int FirstByteObjectives = 2;
constexpr milliseconds ShortestFirstByteTimeout{250};
constexpr milliseconds RetryAfterDeclined{300};
constexpr unsigned FirstServerError = 500;

milliseconds until(SteadyTime time, SteadyTime now)
{
    return std::chrono::duration_cast<milliseconds>(time - now);
}

} // namespace

/// One request on its way through its attempts.
struct OnlineService::Run
{
    OnlineRequest request;
    CallerWatch caller;
    std::set<std::string> excluded;
    /// Sends that may have run.
    int runs = 0;
    int declined = 0;
    bool isStreaming = false;
    bool isFinished = false;
    std::optional<std::uint64_t> lastEventId;
    std::optional<SlotRefusal> refusal;
    std::string lastFailure;
    /// Stops the present attempt at the deadline.
    std::optional<asio::steady_timer> timer;
};

/// One send to an endpoint. Its slot is given back at the end of its life.
struct OnlineService::Attempt
{
    Attempt(OnlineService &onlineService, Run &ofRun, Placement chosen)
        : service(onlineService)
        , run(ofRun)
        , placement(std::move(chosen))
        , begin(onlineService.m_parts.clock.now())
    { }
    ~Attempt()
    {
        run.caller.onGone(nullptr);
        run.timer->cancel();
        // Ends the connection first, so that the endpoint is free when the slot is.
        call.reset();
        const auto held = until(service.m_parts.clock.now(), begin);
        service.m_parts.scheduler.release(placement.endpoint.id, placement.endpoint.service,
                                          WorkClass::Online, held);
    }
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    OnlineService &service;
    Run &run;
    Placement placement;
    SteadyTime begin;
    std::shared_ptr<EndpointCall> call;
    AnswerHead head;
};

OnlineService::OnlineService(ServingParts parts)
    : m_parts(std::move(parts))
{ }

asio::awaitable<void> OnlineService::refuse(ServerExchange &exchange, const Error &error,
                                            milliseconds retryAfter)
{
    ErrorAnswer answer = makeErrorAnswer(error, RunState::NotRun);
    answer.headers.remove("Retry-After");
    const HttpHeader field = m_parts.protocol.retryAfter(retryAfter);
    answer.headers.set(field.name, field.value);
    co_await exchange.respond(std::move(answer));
}

bool OnlineService::mayTryAgain(const Run &run) const
{
    if (run.isFinished || run.caller.isGone() || run.refusal || run.declined >= MostDeclinedSends)
        return false;
    if (m_parts.clock.now() >= run.request.deadline)
        return false;
    return run.runs == 0
            || (mayRetry(*run.request.route) && run.runs < run.request.route->attempts);
}

asio::awaitable<void> OnlineService::serve(ServerExchange &exchange, OnlineRequest request)
{
    Run run;
    run.request = std::move(request);
    const auto executor = co_await asio::this_coro::executor;
    run.timer.emplace(executor);
    exchange.onCallerGone([&run] { run.caller.noteGone(); });
    while (mayTryAgain(run))
        co_await attempt(exchange, run);
    if (!run.isFinished)
        co_await giveUp(exchange, run);
}

asio::awaitable<void> OnlineService::attempt(ServerExchange &exchange, Run &run)
{
    const OnlineRequest &request = run.request;
    // An endpoint that failed before is better than none.
    if (m_parts.board.endpointCount(request.service, run.excluded) == 0)
        run.excluded.clear();
    OnlineSlotRequest slot;
    slot.placement = {request.service, m_parts.failureDomain, request.head.requestId, run.excluded};
    slot.priority = request.priority;
    slot.startBy = request.arrival + request.route->objective;
    slot.deadline = request.deadline;
    slot.isCommitted = run.runs > 0;
    const auto asked = m_parts.clock.now();
    SlotOutcome outcome = co_await m_parts.scheduler.acquire(std::move(slot), run.caller);
    if (const auto *refusal = std::get_if<SlotRefusal>(&outcome)) {
        run.refusal = *refusal;
        co_return;
    }
    Attempt attempt(*this, run, std::get<Placement>(std::move(outcome)));
    m_parts.log.info("request_placed",
                     {{"request", request.head.requestId},
                      {"endpoint", attempt.placement.endpoint.id},
                      {"waited_ms", std::int64_t{until(attempt.begin, asked).count()}},
                      {"in_use", m_parts.board.totalUsage(attempt.placement.endpoint.id).total()},
                      {"slots", attempt.placement.endpoint.slots},
                      {"run", run.runs + 1}});
    co_await send(run, attempt);
    if (attempt.call)
        co_await passOn(exchange, run, attempt);
}

// Sends the request; the attempt has no call afterwards when there is no answer to pass on.
asio::awaitable<void> OnlineService::send(Run &run, Attempt &attempt)
{
    const OnlineRequest &request = run.request;
    const auto now = m_parts.clock.now();
    const milliseconds left = std::max(milliseconds{1}, until(request.deadline, now));
    const FleetEndpoint &endpoint = attempt.placement.endpoint;
    const bool mayGoElsewhere = mayRetry(*request.route) && run.runs + 1 < request.route->attempts;
    EndpointHop hop{
            request.head.requestId, request.head.host, endpoint.id, request.organisation, left,
            run.lastEventId};
    auto sent = std::make_shared<EndpointRequest>();
    sent->method = request.method;
    sent->target = request.target;
    sent->headers = m_parts.protocol.endpointHeaders(request.headers, hop);
    sent->body = request.body;
    sent->form = RequestForm::Verbatim;
    CallOptions options;
    options.idempotency =
            mayRetry(*request.route) ? Idempotency::Idempotent : Idempotency::NonIdempotent;
    options.connectTimeout = std::min(ConnectTimeout, left);
    options.acceptsEndByClose = true;
    options.writeTimeout = left;
    options.firstByteTimeout = left;
    options.gapTimeout = left;
    if (mayGoElsewhere) {
        const milliseconds patience =
                std::max(ShortestFirstByteTimeout, request.route->objective * FirstByteObjectives);
        options.firstByteTimeout = std::min(left, patience);
        if (request.route->eventGapObjective.count() > 0) {
            const auto silence = request.route->eventGapObjective * StreamSilence;
            options.gapTimeout = std::chrono::duration_cast<milliseconds>(silence);
        }
    }
    attempt.call = m_parts.client->prepare(endpoint.address, std::move(sent), options);
    run.caller.onGone([call = attempt.call] { call->cancel(); });
    run.timer->expires_at(request.deadline);
    run.timer->async_wait([call = attempt.call](const boost::system::error_code &error) {
        if (!error)
            call->cancel();
    });
    if (run.runs > 0 && !request.organisation.empty())
        m_parts.quotas.forceAcquire(request.organisation, now);
    CallResult<AnswerHead> head = co_await attempt.call->send();
    if (!isOk(head)) {
        const CallFailure failure = failureOf(head);
        noteFailure(run, attempt, failure.error.message, failure.sent == RequestSent::Possibly);
        co_return;
    }
    attempt.head = valueOf(std::move(head));
    switch (m_parts.protocol.classify(attempt.head, request.head.requestId)) {
    case AnswerKind::Success:
        break;
    case AnswerKind::Failure: {
        const bool isRepeated = mayGoElsewhere && attempt.head.status >= FirstServerError;
        if (isRepeated)
            noteFailure(run, attempt, "status " + std::to_string(attempt.head.status), true);
        break;
    }
    case AnswerKind::NotRun:
        noteFailure(run, attempt, "declined", false);
        break;
    case AnswerKind::WrongEndpoint:
        m_parts.board.recordFailure(endpoint.id, m_parts.clock.now());
        noteFailure(run, attempt, "another process at the address", false);
        break;
    case AnswerKind::Foreign:
        noteFailure(run, attempt, "the answer is not the endpoint's to this request", true);
        break;
    }
}

void OnlineService::noteFailure(Run &run, Attempt &attempt, std::string_view reason,
                                bool mayHaveRun)
{
    run.excluded.insert(attempt.placement.endpoint.id);
    run.lastFailure = reason;
    if (mayHaveRun)
        ++run.runs;
    else
        ++run.declined;
    attempt.call.reset();
    if (run.caller.isGone() || m_parts.clock.now() >= run.request.deadline)
        return;
    // An endpoint that declines is healthy; it is full, or this instance's view of it is old.
    if (mayHaveRun || reason != "declined")
        m_parts.board.recordFailure(attempt.placement.endpoint.id, m_parts.clock.now());
    m_parts.metrics.counter("attempts_failed_total", {{"ran", mayHaveRun ? "unknown" : "no"}})
            .add();
    m_parts.log.warning("attempt_failed",
                        {{"request", run.request.head.requestId},
                         {"endpoint", attempt.placement.endpoint.id},
                         {"reason", reason},
                         {"may_have_run", mayHaveRun ? "yes" : "no"},
                         {"runs", run.runs}});
}

asio::awaitable<void> OnlineService::passOn(ServerExchange &exchange, Run &run, Attempt &attempt)
{
    const bool isStream = attempt.head.headers.get("Content-Type").starts_with("text/event-stream")
            && attempt.head.status < 300 && exchange.canStream();
    if (isStream || run.isStreaming)
        co_await passOnStream(exchange, run, attempt);
    else
        co_await passOnWhole(exchange, run, attempt);
}

asio::awaitable<void> OnlineService::passOnWhole(ServerExchange &exchange, Run &run,
                                                 Attempt &attempt)
{
    auto body = co_await attempt.call->readAll(MaxAnswerBytes);
    if (!isOk(body)) {
        noteFailure(run, attempt, failureOf(body).error.message, true);
        co_return;
    }
    if (attempt.head.status < FirstServerError)
        m_parts.board.recordSuccess(attempt.placement.endpoint.id);
    run.isFinished = true;
    const auto answered = m_parts.clock.now();
    m_parts.metrics.histogram("request_seconds").record(answered - run.request.arrival);
    m_parts.metrics
            .counter("requests_total",
                     {{"outcome", attempt.head.status < 300 ? "answered" : "endpoint_error"}})
            .add();
    m_parts.log.info("request_answered",
                     {{"request", run.request.head.requestId},
                      {"endpoint", attempt.placement.endpoint.id},
                      {"status", static_cast<int>(attempt.head.status)},
                      {"took_ms", std::int64_t{until(answered, run.request.arrival).count()}}});
    co_await exchange.respond(attempt.head.status, attempt.head.headers, valueOf(std::move(body)));
}

asio::awaitable<void> OnlineService::passOnStream(ServerExchange &exchange, Run &run,
                                                  Attempt &attempt)
{
    // A run that goes on elsewhere has to be a stream again.
    if (run.isStreaming && attempt.head.status >= 300) {
        noteFailure(run, attempt, "the stream did not go on", true);
        co_return;
    }
    EventSplitter splitter;
    std::string ready;
    std::optional<std::uint64_t> lastId = run.lastEventId;
    bool isInOrder = true;
    const auto onEvent = [&](const StreamEvent &event) {
        if (event.id && lastId && *event.id <= *lastId)
            isInOrder = false;
        if (event.id)
            lastId = event.id;
        ready += event.bytes;
    };
    for (;;) {
        auto piece = co_await attempt.call->readSome();
        if (!isOk(piece)) {
            noteFailure(run, attempt, failureOf(piece).error.message, true);
            co_return;
        }
        const bool isEnd = valueOf(piece).empty();
        if (!splitter.feed(valueOf(piece), onEvent) || !isInOrder
            || (isEnd && splitter.hasPartialEvent())) {
            noteFailure(run, attempt, "the events are malformed or out of order", true);
            co_return;
        }
        if (m_parts.clock.now() >= run.request.deadline) {
            noteFailure(run, attempt, "the request timed out within its stream", true);
            co_return;
        }
        if (!ready.empty() && !run.isStreaming) {
            m_parts.metrics.histogram("first_event_seconds")
                    .record(m_parts.clock.now() - run.request.arrival);
            run.isStreaming = true;
            const bool isStarted =
                    co_await exchange.startStream(attempt.head.status, attempt.head.headers);
            if (!isStarted) {
                run.caller.noteGone();
                co_return;
            }
        }
        if (!ready.empty()) {
            std::string chunk = std::exchange(ready, {});
            run.lastEventId = lastId;
            const bool isTaken = co_await exchange.writeChunk(std::move(chunk));
            if (!isTaken) {
                run.caller.noteGone();
                co_return;
            }
        }
        if (isEnd)
            break;
    }
    if (!run.isStreaming)
        co_await exchange.startStream(attempt.head.status, attempt.head.headers);
    m_parts.board.recordSuccess(attempt.placement.endpoint.id);
    run.isFinished = true;
    const auto answered = m_parts.clock.now();
    m_parts.metrics.histogram("stream_seconds").record(answered - run.request.arrival);
    m_parts.metrics.counter("requests_total", {{"outcome", "streamed"}}).add();
    m_parts.log.info("request_streamed",
                     {{"request", run.request.head.requestId},
                      {"endpoint", attempt.placement.endpoint.id},
                      {"events", std::uint64_t{lastId.value_or(0)}},
                      {"took_ms", std::int64_t{until(answered, run.request.arrival).count()}}});
    co_await exchange.finishStream();
}

asio::awaitable<void> OnlineService::giveUp(ServerExchange &exchange, Run &run)
{
    const bool isLate = m_parts.clock.now() >= run.request.deadline;
    std::string outcome = "failed";
    if (run.caller.isGone())
        outcome = "caller_gone";
    else if (run.refusal)
        outcome = toString(run.refusal->reason);
    else if (run.runs == 0)
        outcome = "declined";
    m_parts.metrics.counter("requests_total", {{"outcome", outcome}}).add();
    m_parts.log.warning(
            "request_given_up",
            {{"request", run.request.head.requestId},
             {"outcome", outcome},
             {"last_failure", run.lastFailure},
             {"runs", run.runs},
             {"organisation", run.request.organisation},
             {"service", run.request.service},
             {"config", run.request.config->version()},
             {"waiting", m_parts.scheduler.load(run.request.service).waiting},
             {"slots", m_parts.scheduler.load(run.request.service).slots},
             {"age_ms", std::int64_t{until(m_parts.clock.now(), run.request.arrival).count()}}});
    if (run.isStreaming || run.caller.isGone()) {
        exchange.abort();
        co_return;
    }
    if (run.runs == 0) {
        const Error error{ErrorCode::Overloaded, "no endpoint could take the request: " + outcome};
        co_await refuse(exchange, error,
                        run.refusal ? run.refusal->retryAfter : RetryAfterDeclined);
        co_return;
    }
    const Error error{isLate ? ErrorCode::TimedOut : ErrorCode::OutcomeUnknown,
                      "the request may have run: " + run.lastFailure};
    ErrorAnswer answer = makeErrorAnswer(error, RunState::Unknown);
    co_await exchange.respond(std::move(answer));
}

} // namespace pistachiofall
