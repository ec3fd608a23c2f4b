#include "node/itemrunner.h"

#include "http/chatrequest.h"

#include <chrono>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;

namespace {

// Batch waits long for a slot, so that it takes idle capacity as soon as there is some.
constexpr std::chrono::seconds SlotWait{20};
constexpr std::size_t MaxAnswerBytes = 400'000;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned FirstClientError = 400;
constexpr unsigned FirstServerError = 500;

// The outcome of a try that got no complete answer.
ItemOutcome outcomeOf(const Error &error, RunState run, bool isIdempotent)
{
    if (run == RunState::NotRun) {
        if (error.code == ErrorCode::NotFound)
            return ItemFailed{404, std::string(toString(error.code)), error.message};
        return ItemNotRun{};
    }
    if (!isIdempotent)
        return ItemOutcomeUnknown{error.message};
    if (error.code == ErrorCode::Cancelled)
        return ItemRevoked{};
    return ItemRetryable{0, std::string(toString(error.code)), error.message};
}

ItemOutcome outcomeOf(unsigned status, std::string body, bool isIdempotent)
{
    const auto code = static_cast<std::uint16_t>(status);
    if (status < FirstClientError)
        return ItemAnswer{code, std::move(body)};
    const bool isTransient = status == TooManyRequests || status >= FirstServerError;
    if (isTransient && isIdempotent)
        return ItemRetryable{code, "endpoint_error", std::move(body)};
    return ItemFailed{code, "endpoint_error", std::move(body)};
}

} // namespace

ItemRunner::ItemRunner(Coordination &coordination, Forwarder &forwarder)
    : m_coordination(coordination)
    , m_forwarder(forwarder)
{ }

asio::awaitable<ItemOutcome> ItemRunner::run(BatchItem item, std::string organisation,
                                             std::shared_ptr<ItemCancellation> cancellation)
{
    auto request = requestFor(item, std::move(organisation));
    if (!isOk(request))
        co_return ItemFailed{400, std::string(toString(errorOf(request).code)),
                             errorOf(request).message};
    ForwardRequest forward = valueOf(std::move(request));
    const bool isIdempotentItem = forward.idempotency == Idempotency::Idempotent;
    forward.mayStart = [cancellation] { return cancellation->mayStart(); };
    auto stop = std::make_shared<RequestCancellation>();
    cancellation->onCancelled([stop] { stop->cancel(CancelReason::JobStopped); });
    auto outcome = co_await m_forwarder.open(std::move(forward), stop);
    if (const auto *error = std::get_if<ForwardError>(&outcome))
        co_return outcomeOf(error->error, error->run, isIdempotentItem);
    co_return co_await finish(std::get<OpenAnswer>(std::move(outcome)), isIdempotentItem);
}

asio::awaitable<ItemOutcome> ItemRunner::finish(OpenAnswer answer, bool isIdempotentItem)
{
    std::string body = answer.firstPiece;
    if (!body.empty()) {
        auto rest = co_await answer.call->readAll(MaxAnswerBytes);
        if (!isOk(rest)) {
            const Error error = failureOf(rest).error;
            m_forwarder.recordBroken(answer, error);
            answer.call->cancel();
            m_forwarder.finish(answer,
                               error.code == ErrorCode::Cancelled ? CallOutcome::Cancelled
                                                                  : CallOutcome::Failed);
            if (error.code == ErrorCode::TooLarge)
                co_return ItemFailed{static_cast<std::uint16_t>(answer.head.status), "too_large",
                                     error.message};
            co_return outcomeOf(error, RunState::Unknown, isIdempotentItem);
        }
        body += valueOf(rest);
    }
    m_forwarder.finish(answer, CallOutcome::Succeeded);
    co_return outcomeOf(answer.head.status, std::move(body), isIdempotentItem);
}

bool ItemRunner::isIdempotent(const std::string &path) const
{
    if (path == DefaultItemPath)
        return true;
    const RuleSet::Ptr rules = m_coordination.rules().rules();
    const RouteRule *route = rules->route(path);
    return route != nullptr && route->idempotent;
}

Result<ForwardRequest> ItemRunner::requestFor(const BatchItem &item, std::string organisation) const
{
    ForwardRequest forward;
    forward.organisation = std::move(organisation);
    forward.workClass = WorkClass::Batch;
    forward.slotWait = SlotWait;
    if (item.path == DefaultItemPath) {
        const auto chat = parseChatRequest(item.body);
        if (!isOk(chat))
            return errorOf(chat);
        forward.model = valueOf(chat).model;
        forward.prefix = valueOf(chat).conversationHash;
        forward.idempotency = Idempotency::Idempotent;
    } else {
        const RuleSet::Ptr rules = m_coordination.rules().rules();
        const RouteRule *route = rules->route(item.path);
        if (route == nullptr)
            return Error{ErrorCode::NotFound, "no route has the path '" + item.path + "'"};
        forward.service = route->service;
        forward.idempotency =
                route->idempotent ? Idempotency::Idempotent : Idempotency::NonIdempotent;
    }
    auto sent = std::make_shared<EndpointRequest>();
    sent->target = item.path;
    sent->headers.set("Content-Type", "application/json");
    sent->headers.set("X-Request-Id", item.customId);
    sent->body = item.body;
    forward.request = std::move(sent);
    return forward;
}

} // namespace pistachiofall
