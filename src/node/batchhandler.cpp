#include "node/batchhandler.h"

#include "batch/canceljob.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

#include <boost/json.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::seconds;

namespace {

constexpr seconds DefaultDueIn{24 * 3600};
constexpr seconds LongestDueIn{30 * 24 * 3600};

HttpHeaders jsonHeaders()
{
    HttpHeaders headers;
    headers.set("Content-Type", "application/json");
    return headers;
}

std::int64_t unixSeconds(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<seconds>(time.time_since_epoch()).count();
}

std::string statusJson(const JobStatus &status)
{
    const json::object object{
            {"id", status.id.toString()},    {"state", toString(status.state)},
            {"total", status.total},         {"done", status.done},
            {"failed", status.failed},       {"created", unixSeconds(status.created)},
            {"due", unixSeconds(status.due)}};
    return json::serialize(object) + "\n";
}

// Reads "due_in_seconds=N" of a query.
Result<seconds> dueIn(std::string_view query)
{
    constexpr std::string_view Name = "due_in_seconds=";
    if (query.empty())
        return DefaultDueIn;
    std::int64_t value = 0;
    const std::string_view digits = query.substr(std::min(Name.size(), query.size()));
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (!query.starts_with(Name) || error != std::errc{} || end != digits.data() + digits.size()
        || value < 1 || value > LongestDueIn.count())
        return Error{ErrorCode::InvalidArgument,
                     "query '" + std::string(query) + "' is not due_in_seconds=N with N from 1 to "
                             + std::to_string(LongestDueIn.count())};
    return seconds{value};
}

/// The parts of "/v1/batches/ID/ACTION".
struct JobPath
{
    std::optional<JobId> id;
    std::string_view action;
};

JobPath parseJobPath(std::string_view path)
{
    path.remove_prefix(std::min(path.size(), BatchHandler::Path.size() + 1));
    const auto slash = path.find('/');
    JobPath result;
    result.id = JobId::parse(path.substr(0, slash));
    if (slash != std::string_view::npos)
        result.action = path.substr(slash + 1);
    return result;
}

} // namespace

BatchHandler::BatchHandler(const Settings &settings, const Clock &clock,
                           std::shared_ptr<ObjectStore> store, Authenticator &authenticator,
                           LimitClient &limits, Notice notice)
    : m_settings(settings)
    , m_clock(clock)
    , m_store(store)
    , m_authenticator(authenticator)
    , m_limits(limits)
    , m_notice(std::move(notice))
    , m_submitter(store, settings.sharding.shards, clock)
    , m_reader(store)
{ }

asio::awaitable<void> BatchHandler::handle(ServerExchange &exchange)
{
    const auto key = m_authenticator.authenticate(exchange.headers());
    if (!isOk(key)) {
        co_await refuse(exchange, errorOf(key));
        co_return;
    }
    std::string organisation = valueOf(key).organisation;
    const auto token = co_await m_limits.acquire(organisation);
    if (!isOk(token)) {
        co_await refuse(exchange, errorOf(token));
        co_return;
    }
    const bool isPost = exchange.method() == "POST";
    if (exchange.path() == Path && isPost) {
        co_await submit(exchange, valueOf(key));
        co_return;
    }
    const JobPath path = parseJobPath(exchange.path());
    if (path.id && path.action.empty() && !isPost) {
        co_await status(exchange, std::move(organisation), *path.id);
    } else if (path.id && path.action == "results" && !isPost) {
        co_await results(exchange, valueOf(key), *path.id);
    } else if (path.id && path.action == "cancel" && isPost) {
        co_await cancel(exchange, std::move(organisation), *path.id);
    } else {
        const Error unknown{ErrorCode::NotFound,
                            "no job has the path '" + std::string(exchange.path()) + "'"};
        co_await refuse(exchange, unknown);
    }
}

asio::awaitable<void> BatchHandler::submit(ServerExchange &exchange, KeyRule key)
{
    const auto due = dueIn(exchange.query());
    if (!isOk(due)) {
        co_await refuse(exchange, errorOf(due));
        co_return;
    }
    JobRequest request;
    request.organisation = key.organisation;
    request.idempotencyKey = std::string(exchange.headers().get("Idempotency-Key"));
    request.due = m_clock.wallNow() + valueOf(due);
    const auto nextPiece = [&]() -> asio::awaitable<Result<std::string>> {
        auto piece = co_await exchange.readBodySome();
        const auto check = m_authenticator.recheck(key);
        if (!isOk(check))
            co_return errorOf(check);
        co_return piece;
    };
    const auto job = co_await m_submitter.submit(std::move(request), nextPiece);
    if (!isOk(job)) {
        co_await refuse(exchange, errorOf(job));
        co_return;
    }
    m_notice(valueOf(job).id);
    const json::object object{{"id", valueOf(job).id.toString()},
                              {"items", valueOf(job).itemCount},
                              {"new", valueOf(job).isNew}};
    const unsigned status = valueOf(job).isNew ? 201U : 200U;
    std::string body = json::serialize(object) + "\n";
    HttpHeaders headers = jsonHeaders();
    co_await exchange.respond(status, std::move(headers), std::move(body));
}

asio::awaitable<void> BatchHandler::status(ServerExchange &exchange, std::string organisation,
                                           JobId id)
{
    const auto status = co_await m_reader.status(std::move(organisation), id);
    if (!isOk(status)) {
        co_await refuse(exchange, errorOf(status));
        co_return;
    }
    HttpHeaders headers = jsonHeaders();
    std::string body = statusJson(valueOf(status));
    co_await exchange.respond(200, std::move(headers), std::move(body));
}

asio::awaitable<void> BatchHandler::results(ServerExchange &exchange, KeyRule key, JobId id)
{
    const auto stream = co_await m_reader.results(key.organisation, id);
    if (!isOk(stream)) {
        co_await refuse(exchange, errorOf(stream));
        co_return;
    }
    HttpHeaders headers;
    headers.set("Content-Type", "application/x-ndjson");
    if (!co_await exchange.startStream(200, std::move(headers)))
        co_return;
    for (;;) {
        auto lines = co_await valueOf(stream)->next();
        if (!isOk(lines) || !isOk(m_authenticator.recheck(key))) {
            // A part of the results must not look like all of them.
            exchange.abort();
            co_return;
        }
        if (valueOf(lines).empty())
            break;
        if (!co_await exchange.writeChunk(valueOf(std::move(lines))))
            co_return;
    }
    co_await exchange.finishStream();
}

asio::awaitable<void> BatchHandler::cancel(ServerExchange &exchange, std::string organisation,
                                           JobId id)
{
    const auto state =
            co_await cancelJob(m_store, m_settings.sharding.shards, std::move(organisation), id);
    if (!isOk(state)) {
        co_await refuse(exchange, errorOf(state));
        co_return;
    }
    m_notice(id);
    const json::object object{{"id", id.toString()}, {"state", toString(valueOf(state))}};
    HttpHeaders headers = jsonHeaders();
    std::string body = json::serialize(object) + "\n";
    co_await exchange.respond(200, std::move(headers), std::move(body));
}

asio::awaitable<void> BatchHandler::refuse(ServerExchange &exchange, Error error)
{
    const bool isUnknown =
            error.code == ErrorCode::OutcomeUnknown || error.code == ErrorCode::TimedOut;
    ErrorAnswer answer = makeErrorAnswer(error, isUnknown ? RunState::Unknown : RunState::NotRun);
    co_await exchange.respond(std::move(answer));
}

} // namespace pistachiofall
