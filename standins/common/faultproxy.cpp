#include "common/faultproxy.h"

#include "common/httpserver.h"

#include <string_view>
#include <utility>

namespace pistachiofall::standins {

namespace {

constexpr std::string_view ControlPath = "/control/";

boost::asio::awaitable<void> respond(HttpExchange &exchange, ApiAnswer answer)
{
    co_await exchange.respond(answer.status, "application/json", answer.body);
}

} // namespace

FaultProxy::FaultProxy(boost::asio::any_io_executor executor)
    : m_executor(std::move(executor))
{ }

Result<std::uint16_t> FaultProxy::addRoute(const std::string &name,
                                           const std::string &listenAddress,
                                           const std::string &targetAddress)
{
    if (m_routes.contains(name))
        return Error{ErrorCode::AlreadyExists, "two routes have the name '" + name + "'"};
    const auto route = ProxyRoute::start(m_executor, listenAddress, targetAddress);
    if (!isOk(route))
        return errorOf(route);
    m_routes[name] = valueOf(route);
    return valueOf(route)->port();
}

Result<std::uint16_t> FaultProxy::startControl(const std::string &address)
{
    return startHttpServer(m_executor, address, [routes = m_routes](HttpExchange &exchange) {
        return respond(exchange, control(routes, exchange));
    });
}

Result<Done> FaultProxy::setFault(const std::string &name, const ProxyFault &fault)
{
    const auto route = m_routes.find(name);
    if (route == m_routes.end())
        return Error{ErrorCode::NotFound, "there is no route '" + name + "'"};
    route->second->setFault(fault);
    return Done{};
}

ApiAnswer FaultProxy::control(const Routes &routes, const HttpExchange &exchange)
{
    const std::string &path = exchange.path();
    const auto route = path.starts_with(ControlPath) ? routes.find(path.substr(ControlPath.size()))
                                                     : routes.end();
    if (route == routes.end())
        return statusAnswer(404, "NotFound", "no route at '" + path + "'");
    if (exchange.method() == "GET")
        return {200, route->second->describe()};
    if (exchange.method() != "POST")
        return statusAnswer(405, "MethodNotAllowed", "GET and POST are accepted here");
    const auto fault = ProxyFault::parse(exchange.parameters());
    if (!isOk(fault))
        return statusAnswer(400, "BadRequest", errorOf(fault).message);
    route->second->setFault(valueOf(fault));
    return {200, route->second->describe()};
}

} // namespace pistachiofall::standins
