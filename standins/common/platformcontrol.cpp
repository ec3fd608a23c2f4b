#include "common/platformcontrol.h"

#include "common/objectnames.h"
#include "common/queryvalues.h"

#include "base/socketaddress.h"

#include <optional>
#include <string_view>

namespace pistachiofall::standins {

namespace {

using Refusal = std::optional<ApiAnswer>;

constexpr std::string_view InstancesPath = "/control/instances/";

ApiAnswer badRequest(const std::string &message)
{
    return statusAnswer(400, "BadRequest", message);
}

ApiAnswer accepted()
{
    return statusAnswer(200, "", "");
}

Refusal setMode(PlatformState &state, const std::string &mode)
{
    if (mode == "up")
        state.faults.setMode(PlatformMode::Up);
    else if (mode == "down")
        state.faults.setMode(PlatformMode::Down);
    else if (mode == "hang")
        state.faults.setMode(PlatformMode::Hang);
    else if (!mode.empty())
        return badRequest("mode is '" + mode + "', not up, down or hang");
    return std::nullopt;
}

Refusal setCounts(PlatformState &state, const HttpExchange &exchange)
{
    if (const std::string text = exchange.query("slow-ms"); !text.empty()) {
        const auto number = parseNumber("slow-ms", text);
        if (!isOk(number))
            return badRequest(errorOf(number).message);
        state.faults.setSlowness(std::chrono::milliseconds(valueOf(number)));
    }
    if (const std::string text = exchange.query("lose-answers"); !text.empty()) {
        const auto number = parseNumber("lose-answers", text);
        if (!isOk(number))
            return badRequest(errorOf(number).message);
        state.faults.setAnswersToLose(valueOf(number));
    }
    return std::nullopt;
}

Refusal setFrozen(PlatformState &state, const std::string &text)
{
    if (text.empty())
        return std::nullopt;
    if (text != "on" && text != "off")
        return badRequest("freeze-list is '" + text + "', not on or off");
    state.instances.setFrozen(text == "on", std::chrono::steady_clock::now());
    return std::nullopt;
}

ApiAnswer setSwitches(PlatformState &state, const HttpExchange &exchange)
{
    const auto names = checkNames(exchange.parameters(),
                                  {"mode", "slow-ms", "lose-answers", "freeze-list", "compact"});
    if (!isOk(names))
        return badRequest(errorOf(names).message);
    if (auto refusal = setMode(state, exchange.query("mode")))
        return *refusal;
    if (auto refusal = setCounts(state, exchange))
        return *refusal;
    if (auto refusal = setFrozen(state, exchange.query("freeze-list")))
        return *refusal;
    if (exchange.query("compact") == "1")
        state.objects.compact();
    state.changed.notifyAll();
    return accepted();
}

ApiAnswer putInstance(PlatformState &state, const std::string &name, const HttpExchange &exchange)
{
    const auto names =
            checkNames(exchange.parameters(), {"failure-domain", "peer", "admin", "leaving"});
    if (!isOk(names))
        return badRequest(errorOf(names).message);
    const auto peer = SocketAddress::parse(exchange.query("peer"));
    const auto admin = SocketAddress::parse(exchange.query("admin"));
    const std::string leaving = exchange.query("leaving", "0");
    if (!isObjectName(name))
        return badRequest("the instance name '" + name + "' is no object name");
    if (!isOk(peer) || !isOk(admin) || valueOf(peer).host() != valueOf(admin).host())
        return badRequest("peer '" + exchange.query("peer") + "' and admin '"
                          + exchange.query("admin") + "' are not IP:PORT with the same IP");
    if (leaving != "0" && leaving != "1")
        return badRequest("leaving is '" + leaving + "', not 0 or 1");
    const PlatformInstance instance{name,
                                    exchange.query("failure-domain"),
                                    valueOf(peer).host(),
                                    valueOf(peer).port(),
                                    valueOf(admin).port(),
                                    leaving == "1"};
    state.instances.set(instance, state.objects.takeRevision(), std::chrono::steady_clock::now());
    return accepted();
}

ApiAnswer controlInstance(PlatformState &state, const std::string &name,
                          const HttpExchange &exchange)
{
    if (exchange.method() == "PUT")
        return putInstance(state, name, exchange);
    if (exchange.method() != "DELETE")
        return statusAnswer(405, "MethodNotAllowed", "PUT and DELETE are accepted here");
    state.instances.remove(name, state.objects.takeRevision(), std::chrono::steady_clock::now());
    return accepted();
}

} // namespace

ApiAnswer controlPlatform(PlatformState &state, const HttpExchange &exchange)
{
    const std::string &path = exchange.path();
    if (path.starts_with(InstancesPath))
        return controlInstance(state, path.substr(InstancesPath.size()), exchange);
    if (path == "/control" && exchange.method() == "POST")
        return setSwitches(state, exchange);
    if (path == "/control/calls" && exchange.method() == "GET")
        return {200, state.calls.toJson()};
    if (path == "/control/objects" && exchange.method() == "GET")
        return {200, state.objects.describe()};
    return statusAnswer(404, "NotFound", "no control call at '" + path + "'");
}

} // namespace pistachiofall::standins
