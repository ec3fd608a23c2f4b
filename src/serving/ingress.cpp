#include "serving/ingress.h"

#include "base/overloaded.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxBodyBytes = std::size_t{8} << 20U;
// Without a configuration this instance is not ready, and a retry reaches another one.
constexpr milliseconds RetryAfterNoConfig{300};
// Another instance serves the request at once.
constexpr milliseconds RetryAfterStopping{100};
// For requests without a deadline header.
constexpr milliseconds DefaultDeadline{30000};

} // namespace

Ingress::Ingress(ServingDependencies dependencies, const ConfigHolder &config,
                 OnlineService &online, JobService &jobs)
    : m_dependencies(std::move(dependencies))
    , m_config(config)
    , m_online(online)
    , m_jobs(jobs)
{ }

asio::awaitable<void> Ingress::reject(ServerExchange &exchange, const OnlineRequest &request,
                                      Error error)
{
    m_dependencies.metrics
            .counter("requests_rejected_total", {{"reason", std::string(toString(error.code))}})
            .add();
    m_dependencies.log.warning("request_rejected",
                               {{"request", request.metadata.requestId},
                                {"reason", error.message},
                                {"config", m_config.version()}});
    ErrorAnswer answer = makeErrorAnswer(error, RunState::NotRun);
    co_await exchange.respond(std::move(answer));
}

bool Ingress::mayPassOn(SteadyTime deadline) const
{
    return !m_stop || m_stop->mayPassOn(m_dependencies.clock.now(), deadline);
}

asio::awaitable<void> Ingress::refuseStopping(ServerExchange &exchange, std::string requestId)
{
    m_dependencies.metrics.counter("requests_total", {{"outcome", "stopping"}}).add();
    m_dependencies.log.info("request_refused", {{"request", requestId}, {"reason", "stopping"}});
    const Error error{ErrorCode::Unavailable, "this instance is about to stop"};
    co_await m_online.refuse(exchange, error, RetryAfterStopping);
}

asio::awaitable<void> Ingress::handle(ServerExchange &exchange)
{
    OnlineRequest request;
    request.arrival = m_dependencies.clock.now();
    request.metadata = m_dependencies.protocol.decodeMetadata(exchange.headers());
    request.config = m_config.config();
    if (!request.config) {
        m_dependencies.log.warning(
                "request_refused",
                {{"request", request.metadata.requestId}, {"reason", "no configuration"}});
        const Error error{ErrorCode::Unavailable, "this instance has no configuration yet"};
        co_await m_online.refuse(exchange, error, RetryAfterNoConfig);
        co_return;
    }
    auto call = m_dependencies.protocol.decodeCall(exchange.method(), exchange.path(),
                                                   exchange.query(), exchange.headers());
    if (!isOk(call)) {
        co_await reject(exchange, request, errorOf(call));
        co_return;
    }
    const ServingOrganisation *organisation =
            request.config->organisationForKey(request.metadata.key);
    const bool needsKey = request.config->hasOrganisations();
    const Error unknownKey{ErrorCode::Unauthenticated, "the API key is missing or unknown"};
    if (!std::holds_alternative<ForwardCall>(valueOf(call))) {
        if (organisation == nullptr)
            co_await reject(exchange, request, unknownKey);
        else if (!mayPassOn(request.arrival + JobService::CallTimeout))
            co_await refuseStopping(exchange, request.metadata.requestId);
        else
            co_await handleJobCall(exchange, valueOf(std::move(call)), *organisation);
        co_return;
    }
    request.route = request.config->findRoute(request.metadata.host, exchange.path());
    if (request.route == nullptr) {
        Error unknown{ErrorCode::NotFound,
                      "no route of host '" + request.metadata.host + "' matches the path '"
                              + std::string(exchange.path()) + "'"};
        co_await reject(exchange, request, std::move(unknown));
        co_return;
    }
    if (needsKey && !request.route->isPublic && organisation == nullptr) {
        co_await reject(exchange, request, unknownKey);
        co_return;
    }
    request.priority = request.route->priority;
    if (organisation != nullptr && !request.route->isPublic) {
        request.organisation = organisation->name;
        request.priority = organisation->priority.value_or(request.priority);
    }
    co_await handleRequest(exchange, std::move(request));
}

asio::awaitable<void> Ingress::handleRequest(ServerExchange &exchange, OnlineRequest request)
{
    auto body = co_await exchange.readBody(MaxBodyBytes);
    if (!isOk(body)) {
        ErrorAnswer answer = makeBodyErrorAnswer(errorOf(body));
        co_await exchange.respond(std::move(answer));
        co_return;
    }
    request.body = valueOf(std::move(body));
    request.method = exchange.method();
    request.target = exchange.path();
    if (!exchange.query().empty())
        request.target += "?" + std::string(exchange.query());
    request.headers = exchange.headers();
    request.service = chooseService(*request.route, request.metadata.requestId);
    milliseconds timeLimit = request.metadata.deadline.value_or(DefaultDeadline);
    if (request.route->timeout.count() > 0)
        timeLimit = std::min(timeLimit, request.route->timeout);
    request.deadline = request.arrival + timeLimit;
    const bool isJob = request.route->kind == RouteKind::Batch;
    if (!mayPassOn(isJob ? request.arrival + JobService::CallTimeout : request.deadline)) {
        co_await refuseStopping(exchange, request.metadata.requestId);
        co_return;
    }
    if (isJob) {
        co_await m_jobs.submit(exchange, std::move(request));
        co_return;
    }
    const ServingOrganisation *organisation = request.config->organisation(request.organisation);
    if (organisation != nullptr && organisation->ratePerSecond > 0) {
        const QuotaLimiter::Limit limit{organisation->ratePerSecond, organisation->burst};
        const auto now = m_dependencies.clock.bootNow();
        if (!m_dependencies.quotas.tryAcquire(organisation->name, limit, now)) {
            m_dependencies.metrics.counter("requests_total", {{"outcome", "over_limit"}}).add();
            m_dependencies.log.warning("request_over_limit",
                                       {{"request", request.metadata.requestId},
                                        {"organisation", organisation->name},
                                        {"rate", static_cast<std::int64_t>(limit.ratePerSecond)},
                                        {"burst", static_cast<std::int64_t>(limit.burst)},
                                        {"config", request.config->version()}});
            const Error error{ErrorCode::RateLimited,
                              "organisation '" + organisation->name + "' exceeds its rate limit"};
            const milliseconds wait = m_dependencies.quotas.retryAfter(organisation->name, limit);
            co_await m_online.refuse(exchange, error, wait);
            co_return;
        }
    }
    co_await m_online.serve(exchange, std::move(request));
}

asio::awaitable<void> Ingress::handleJobCall(ServerExchange &exchange, ApiCall call,
                                             const ServingOrganisation &organisation)
{
    const std::string name = organisation.name;
    if (auto *results = std::get_if<ResultsCall>(&call))
        co_await m_jobs.readResults(exchange, std::move(*results), name);
    else if (auto *body = std::get_if<ItemBodyCall>(&call))
        co_await m_jobs.readBody(exchange, std::move(*body), name);
    else if (auto *end = std::get_if<EndJobCall>(&call))
        co_await m_jobs.end(exchange, std::move(*end), name);
}

} // namespace pistachiofall
