#include "node/engineclient.h"

#include <utility>

#include <boost/json.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxAnswerBytes = 64 * 1024;
constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr unsigned Conflict = 409;

CallOptions commandOptions(Idempotency idempotency)
{
    CallOptions options;
    options.idempotency = idempotency;
    options.writeTimeout = milliseconds{1000};
    options.firstByteTimeout = milliseconds{2000};
    options.gapTimeout = milliseconds{1000};
    return options;
}

std::string textAt(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
}

} // namespace

Result<EngineState> parseEngineState(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object())
        return Error{ErrorCode::ProtocolError, "the state of the engine is not a JSON object"};
    const json::object &object = value.get_object();
    EngineState state;
    state.version = textAt(object, "version");
    state.previousVersion = textAt(object, "previous_version");
    state.loadingVersion = textAt(object, "loading_version");
    state.failedVersion = textAt(object, "failed_version");
    const json::value *fencing = object.if_contains("fencing");
    if (fencing != nullptr && fencing->is_number())
        state.fencingToken = fencing->to_number<std::uint64_t>(error);
    return state;
}

EngineClient::EngineClient(std::shared_ptr<EndpointClient> client)
    : m_client(std::move(client))
{ }

asio::awaitable<Result<EngineState>> EngineClient::readState(SocketAddress engine)
{
    auto request = std::make_shared<EndpointRequest>();
    request->method = "GET";
    request->target = "/admin/state";
    const auto call =
            m_client->prepare(engine, std::move(request), commandOptions(Idempotency::Idempotent));
    const auto head = co_await call->send();
    if (!isOk(head))
        co_return failureOf(head).error;
    const auto body = co_await call->readAll(MaxAnswerBytes);
    if (!isOk(body))
        co_return failureOf(body).error;
    if (valueOf(head).status != Ok) {
        co_return Error{ErrorCode::ProtocolError,
                        "the engine answered status " + std::to_string(valueOf(head).status)};
    }
    co_return parseEngineState(valueOf(body));
}

asio::awaitable<CommandOutcome> EngineClient::load(SocketAddress engine, std::string version,
                                                   std::uint64_t fencing)
{
    auto request = std::make_shared<EndpointRequest>();
    request->target = "/admin/load";
    request->headers.set("Content-Type", "application/json");
    request->body = json::serialize(json::object{{"version", version}, {"fencing", fencing}});
    const auto call = m_client->prepare(engine, std::move(request),
                                        commandOptions(Idempotency::NonIdempotent));
    const auto head = co_await call->send();
    if (!isOk(head))
        co_return CommandOutcome::Unknown;
    const auto body = co_await call->readAll(MaxAnswerBytes);
    if (!isOk(body))
        co_return CommandOutcome::Unknown;
    if (valueOf(head).status == Accepted)
        co_return CommandOutcome::Accepted;
    if (valueOf(head).status == Conflict)
        co_return CommandOutcome::OldNumber;
    co_return CommandOutcome::Unknown;
}

} // namespace pistachiofall
