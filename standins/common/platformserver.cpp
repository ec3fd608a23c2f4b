#include "common/platformserver.h"

#include "common/apirequest.h"
#include "common/httpserver.h"
#include "common/platformcontrol.h"
#include "common/platformstate.h"
#include "common/platformwatch.h"

#include <memory>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;

namespace {

ApiAnswer carryOut(PlatformState &state, const ApiRequest &request, const std::string &body)
{
    const ObjectSelection &selection = request.selection;
    switch (request.kind) {
    case ApiRequest::Kind::Get:
        return state.objects.get(selection.nameSpace, selection.name);
    case ApiRequest::Kind::List:
        return state.objects.list(selection);
    case ApiRequest::Kind::Create:
        return state.objects.create(selection.nameSpace, body);
    case ApiRequest::Kind::Update:
        return state.objects.update(selection.nameSpace, selection.name, body);
    case ApiRequest::Kind::Remove:
        return state.objects.remove(selection.nameSpace, selection.name, body);
    case ApiRequest::Kind::Instances:
        return {200,
                state.instances.renderList(selection.nameSpace, selection.labels,
                                           std::chrono::steady_clock::now())};
    case ApiRequest::Kind::Watch:
        break;
    }
    return statusAnswer(500, "InternalError", "a watch is served as a stream");
}

// Waits as the faults demand; false when the call is to be dropped without effect.
asio::awaitable<bool> passFaults(const PlatformState &state, HttpExchange &exchange)
{
    const auto slowness = state.faults.slowness();
    if (slowness.count() > 0 && state.faults.mode() == PlatformMode::Up) {
        asio::steady_timer timer(exchange.socket().get_executor(), slowness);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    const PlatformMode mode = state.faults.mode();
    if (mode == PlatformMode::Hang)
        co_await hangPlatformCall(exchange);
    else if (mode == PlatformMode::Down)
        exchange.drop();
    co_return mode == PlatformMode::Up;
}

asio::awaitable<void> serveApi(std::shared_ptr<PlatformState> state, HttpExchange &exchange)
{
    const auto parsed = ApiRequest::parse(exchange);
    if (const auto *refusal = std::get_if<ApiAnswer>(&parsed))
        co_return co_await exchange.respond(refusal->status, "application/json", refusal->body);
    const auto &request = std::get<ApiRequest>(parsed);
    state->calls.add(request.kindName());
    const bool isServed = co_await passFaults(*state, exchange);
    if (!isServed)
        co_return;
    if (request.kind == ApiRequest::Kind::Watch)
        co_return co_await servePlatformWatch(state, request, exchange);
    const ApiAnswer answer = carryOut(*state, request, exchange.body());
    if (request.isWrite() && answer.isSuccess()) {
        state->changed.notifyAll();
        if (state->faults.takeLostAnswer())
            co_return exchange.drop();
    }
    co_await exchange.respond(answer.status, "application/json", answer.body);
}

asio::awaitable<void> serveControl(std::shared_ptr<PlatformState> state, HttpExchange &exchange)
{
    const ApiAnswer answer = controlPlatform(*state, exchange);
    co_await exchange.respond(answer.status, "application/json", answer.body);
}

} // namespace

Result<std::uint16_t> startPlatformServer(const asio::any_io_executor &executor,
                                          const std::string &address,
                                          std::chrono::milliseconds listLag)
{
    auto state = std::make_shared<PlatformState>(listLag);
    return startHttpServer(executor, address, [state](HttpExchange &exchange) {
        if (exchange.path().starts_with("/control"))
            return serveControl(state, exchange);
        return serveApi(state, exchange);
    });
}

} // namespace pistachiofall::standins
