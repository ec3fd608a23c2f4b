#pragma once

#include "coord/coordtimes.h"
#include "fleet/servingconfig.h"
#include "http/httpheaders.h"
#include "serving/requestmetadata.h"

#include <string>

namespace pistachiofall {

/// A request of a caller that has been read, authenticated and counted.
struct OnlineRequest
{
    RequestMetadata metadata;
    /// Keeps the route alive while a newer configuration is in force.
    ServingConfig::Ptr config;
    const ServingRoute *route = nullptr;
    std::string service;
    /// Empty on public routes.
    std::string organisation;
    int priority = 0;
    std::string method;
    /// Path and query.
    std::string target;
    HttpHeaders headers;
    std::string body;
    SteadyTime arrival{};
    /// The end of the caller's patience or of the route's timeout, whichever is sooner.
    SteadyTime deadline{};
};

} // namespace pistachiofall
