#pragma once

#include "fleet/endpointpool.h"
#include "fleet/servingconfig.h"

#include <chrono>
#include <string>
#include <utility>

namespace pistachiofall::tests {

/// Returns the loopback address with the port.
inline SocketAddress loopback(std::uint16_t port)
{
    return valueOf(SocketAddress::parse("127.0.0.1:" + std::to_string(port)));
}

/// Returns a ready endpoint of the service "chat".
inline FleetEndpoint chatEndpoint(std::string id, int slots, std::string domain = "east-a")
{
    return {std::move(id), "chat", loopback(9000), std::move(domain), slots, false, {}, 0};
}

/// Returns a configuration with the service "chat", whose cold endpoints tolerate the given number
/// of requests per second; 0 means no limit.
inline ServingConfig::Ptr chatConfig(double coldRate = 0)
{
    ServingService service;
    service.name = "chat";
    service.coldRate = coldRate;
    ServingRoute route;
    route.name = "chat";
    route.host = "desk.example";
    route.pathPrefix = "/chat/";
    route.kind = RouteKind::Stream;
    route.targets = {{"chat", 1}};
    return ServingConfig::create(1, {route}, {service}, {});
}

} // namespace pistachiofall::tests
