#include "node/onlinehandler.h"

#include "http/chatrequest.h"
#include "http/completionstreamcheck.h"
#include "http/endpointheaders.h"
#include "slo/servicelevels.h"

#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxChatBodyBytes = std::size_t{16} << 20U;
// A status from which on the service, not the request, is at fault.
constexpr unsigned FirstServerError = 500;

HttpHeaders answerHeaders(const AnswerHead &head)
{
    HttpHeaders headers;
    for (const char *name : {"Content-Type", "X-Request-Id"}) {
        if (head.headers.contains(name))
            headers.set(name, std::string(head.headers.get(name)));
    }
    return headers;
}

/// Removes a request from those in flight at the end of its scope.
class ActiveRequestGuard
{
public:
    ActiveRequestGuard(ActiveRequests &requests, const std::optional<KeyRule> &key,
                       std::shared_ptr<RequestCancellation> cancellation)
        : m_requests(requests)
        , m_id(key ? requests.add(
                       *key, [cancellation] { cancellation->cancel(CancelReason::KeyInvalid); })
                   : 0)
    { }
    ~ActiveRequestGuard() { m_requests.remove(m_id); }
    ActiveRequestGuard(const ActiveRequestGuard &) = delete;
    ActiveRequestGuard &operator=(const ActiveRequestGuard &) = delete;

private:
    ActiveRequests &m_requests;
    const std::uint64_t m_id;
};

} // namespace

/// A request that has been read and authenticated.
struct OnlineHandler::Request
{
    /// Empty on open routes.
    std::optional<KeyRule> key;
    /// The model or the path of the route, as the service levels name it.
    std::string target;
    ForwardRequest forward;
};

OnlineHandler::OnlineHandler(const Clock &clock, MetricsRegistry &metrics, const Settings &settings,
                             Coordination &coordination, Authenticator &authenticator,
                             LimitClient &limits, Forwarder &forwarder, ActiveRequests &requests)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_coordination(coordination)
    , m_authenticator(authenticator)
    , m_limits(limits)
    , m_forwarder(forwarder)
    , m_requests(requests)
{ }

asio::awaitable<void> OnlineHandler::handleChat(ServerExchange &exchange)
{
    auto key = m_authenticator.authenticate(exchange.headers());
    if (!isOk(key)) {
        co_await refuse(exchange, errorOf(key), RunState::NotRun);
        co_return;
    }
    auto body = co_await exchange.readBody(MaxChatBodyBytes);
    if (!isOk(body)) {
        co_await exchange.respond(makeBodyErrorAnswer(errorOf(body)));
        co_return;
    }
    const auto chat = parseChatRequest(valueOf(body));
    if (!isOk(chat)) {
        co_await refuse(exchange, errorOf(chat), RunState::NotRun);
        co_return;
    }
    auto sent = std::make_shared<EndpointRequest>();
    sent->target = "/v1/chat/completions";
    sent->headers = endpointHeaders(exchange.headers());
    sent->body = valueOf(std::move(body));
    Request request;
    request.key = valueOf(std::move(key));
    request.target = valueOf(chat).model;
    request.forward.model = valueOf(chat).model;
    request.forward.prefix = valueOf(chat).conversationHash;
    request.forward.idempotency = Idempotency::Idempotent;
    request.forward.request = std::move(sent);
    co_await run(exchange, std::move(request));
}

asio::awaitable<void> OnlineHandler::handleRoute(ServerExchange &exchange)
{
    const RuleSet::Ptr rules = m_coordination.rules().rules();
    const RouteRule *route = rules->route(exchange.path());
    if (route == nullptr) {
        const Error unknown{ErrorCode::NotFound,
                            "no route has the path '" + std::string(exchange.path()) + "'"};
        co_await refuse(exchange, unknown, RunState::NotRun);
        co_return;
    }
    Request request;
    if (route->access == RouteAccess::Keyed) {
        auto key = m_authenticator.authenticate(exchange.headers());
        if (!isOk(key)) {
            co_await refuse(exchange, errorOf(key), RunState::NotRun);
            co_return;
        }
        request.key = valueOf(std::move(key));
    }
    auto body = co_await exchange.readBody(MaxChatBodyBytes);
    if (!isOk(body)) {
        co_await exchange.respond(makeBodyErrorAnswer(errorOf(body)));
        co_return;
    }
    auto sent = std::make_shared<EndpointRequest>();
    sent->method = std::string(exchange.method());
    sent->target = endpointTarget(exchange.path(), exchange.query());
    sent->headers = endpointHeaders(exchange.headers());
    sent->body = valueOf(std::move(body));
    request.target = route->name;
    request.forward.service = route->service;
    request.forward.idempotency =
            route->idempotent ? Idempotency::Idempotent : Idempotency::NonIdempotent;
    request.forward.request = std::move(sent);
    co_await run(exchange, std::move(request));
}

asio::awaitable<void> OnlineHandler::run(ServerExchange &exchange, Request request)
{
    const auto begin = m_clock.now();
    auto cancellation = std::make_shared<RequestCancellation>();
    const ActiveRequestGuard guard(m_requests, request.key, cancellation);
    exchange.onCallerGone([cancellation] { cancellation->cancel(CancelReason::CallerGone); });
    if (request.key) {
        // The rules may have changed before the guard was there to see it.
        const auto check = m_authenticator.recheck(*request.key);
        if (!isOk(check)) {
            co_await refuse(exchange, errorOf(check), RunState::NotRun);
            co_return;
        }
        request.forward.organisation = request.key->organisation;
        // A paused process may send before it has seen that it is isolated.
        request.forward.mayStart = [this, key = *request.key] {
            return isOk(m_authenticator.recheck(key));
        };
    }
    const std::string organisation = request.forward.organisation;
    const bool hasEndpoint = isServed(request.forward);
    ServiceLevels levels(m_metrics, m_settings.objectives, request.target, organisation);
    if (request.key) {
        const auto token = co_await m_limits.acquire(organisation);
        if (!isOk(token)) {
            const bool isLimited = errorOf(token).code == ErrorCode::RateLimited;
            count(organisation, isLimited ? "rate_limited" : "unavailable");
            if (!isLimited && hasEndpoint)
                levels.recordAvailability(false);
            co_await refuse(exchange, errorOf(token), RunState::NotRun);
            co_return;
        }
    }
    request.forward.slotWait = m_settings.deadlines.slotWait;
    auto outcome = co_await m_forwarder.open(std::move(request.forward), cancellation);
    if (const auto *error = std::get_if<ForwardError>(&outcome)) {
        count(organisation, "failed");
        if (hasEndpoint && !isCallersDoing(*cancellation))
            levels.recordAvailability(false);
        co_await refuse(exchange, reasonOf(*error, request.key), error->run);
        co_return;
    }
    count(organisation, "answered");
    auto answer = std::get<OpenAnswer>(std::move(outcome));
    if (isEventStream(answer.head))
        levels.recordFirstToken(m_clock.now() - begin);
    co_await relay(exchange, std::move(answer), *cancellation, levels);
}

asio::awaitable<void> OnlineHandler::relay(ServerExchange &exchange, OpenAnswer answer,
                                           const RequestCancellation &cancellation,
                                           ServiceLevels &levels)
{
    RelayEnd end = RelayEnd::Cut;
    if (isEventStream(answer.head) && exchange.canStream())
        end = co_await relayStream(exchange, answer, levels);
    else
        end = co_await relayWhole(exchange, answer, cancellation);
    if (end == RelayEnd::Complete) {
        levels.recordAvailability(answer.head.status < FirstServerError);
        m_forwarder.finish(answer, CallOutcome::Succeeded);
        co_return;
    }
    if (end == RelayEnd::Cut && !isCallersDoing(cancellation))
        levels.recordAvailability(false);
    answer.call->cancel();
    m_forwarder.finish(answer,
                       cancellation.reason() ? CallOutcome::Cancelled : CallOutcome::Failed);
}

asio::awaitable<OnlineHandler::RelayEnd> OnlineHandler::relayStream(ServerExchange &exchange,
                                                                    const OpenAnswer &answer,
                                                                    ServiceLevels &levels)
{
    Histogram &gaps = m_metrics.histogram("token_gap_seconds");
    CompletionStreamCheck check;
    if (!co_await exchange.startStream(answer.head.status, answerHeaders(answer.head)))
        co_return RelayEnd::NotTaken;
    std::string piece = answer.firstPiece;
    while (!piece.empty()) {
        check.feed(piece);
        if (!co_await exchange.writeChunk(std::move(piece)))
            co_return RelayEnd::NotTaken;
        const auto begin = m_clock.now();
        auto next = co_await answer.call->readSome();
        if (!isOk(next)) {
            m_forwarder.recordBroken(answer, failureOf(next).error);
            break;
        }
        piece = valueOf(std::move(next));
        if (!piece.empty()) {
            const auto gap = m_clock.now() - begin;
            gaps.record(gap);
            levels.recordTokenGap(gap);
            continue;
        }
        const Result<Done> checked = check.check();
        if (!isOk(checked)) {
            m_forwarder.recordBroken(answer, errorOf(checked));
            break;
        }
        const bool isTaken = co_await exchange.finishStream();
        co_return isTaken ? RelayEnd::Complete : RelayEnd::NotTaken;
    }
    // A stream that was cut must not look complete to the caller.
    m_metrics.counter("streams_cut_total").add();
    exchange.abort();
    co_return RelayEnd::Cut;
}

asio::awaitable<OnlineHandler::RelayEnd>
OnlineHandler::relayWhole(ServerExchange &exchange, const OpenAnswer &answer,
                          const RequestCancellation &cancellation)
{
    std::string body = answer.firstPiece;
    if (!body.empty()) {
        auto rest = co_await answer.call->readAll(MaxWholeAnswerBytes);
        if (!isOk(rest)) {
            Error error = failureOf(rest).error;
            m_forwarder.recordBroken(answer, error);
            if (cancellation.reason() == CancelReason::KeyInvalid)
                error = {ErrorCode::Unauthenticated, "the key has been withdrawn"};
            co_await refuse(exchange, error, RunState::Unknown);
            co_return RelayEnd::Cut;
        }
        body += valueOf(rest);
    }
    const bool isTaken = co_await exchange.respond(answer.head.status, answerHeaders(answer.head),
                                                   std::move(body));
    co_return isTaken ? RelayEnd::Complete : RelayEnd::NotTaken;
}

Error OnlineHandler::reasonOf(const ForwardError &error, const std::optional<KeyRule> &key)
{
    if (key && error.error.code == ErrorCode::Cancelled) {
        const auto check = m_authenticator.recheck(*key);
        if (!isOk(check))
            return errorOf(check);
    }
    return error.error;
}

bool OnlineHandler::isServed(const ForwardRequest &request) const
{
    const RuleSet::Ptr rules = m_coordination.rules().rules();
    return !(request.model.empty() ? rules->endpointsOfService(request.service)
                                   : rules->endpointsOfModel(request.model))
                    .empty();
}

bool OnlineHandler::isCallersDoing(const RequestCancellation &cancellation) const
{
    const auto reason = cancellation.reason();
    // An isolated instance cancels its requests as if their keys were invalid.
    return reason == CancelReason::CallerGone
            || (reason == CancelReason::KeyInvalid && !m_coordination.isIsolated(m_clock.now()));
}

asio::awaitable<void> OnlineHandler::refuse(ServerExchange &exchange, Error error, RunState run)
{
    m_metrics.counter("requests_refused_total", {{"code", std::string(toString(error.code))}})
            .add();
    ErrorAnswer answer = makeErrorAnswer(error, run);
    co_await exchange.respond(std::move(answer));
}

void OnlineHandler::count(const std::string &organisation, const char *outcome)
{
    m_metrics.counter("requests_total", {{"organisation", organisation}, {"outcome", outcome}})
            .add();
}

} // namespace pistachiofall
