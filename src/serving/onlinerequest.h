#pragma once

#include "coord/coordtimes.h"
#include "fleet/servingconfig.h"
#include "http/httpheaders.h"
#include "serving/requestmetadata.h"

#include <string>

namespace pistachiofall {

/// An online request of a caller, read in full and authenticated, with its route.
struct OnlineRequest
{
    RequestMetadata metadata;
    /// The configuration that owns the route. Keeps it alive when a newer configuration comes into
    /// force.
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
    /// The caller's deadline or the end of the route's timeout, whichever is earlier.
    SteadyTime deadline{};
};

} // namespace pistachiofall
