#pragma once

#include "fleet/fleetendpoint.h"

#include <set>
#include <string>

namespace pistachiofall {

/// The requirements of a request on its endpoint.
struct PlacementRequest
{
    std::string service;
    /// The failure domain in which the request arrived. Endpoints there are preferred among equals.
    std::string failureDomain;
    /// Key of the hash that decides between otherwise equal endpoints.
    std::string key;
    /// Endpoints that this request has already been sent to.
    std::set<std::string> excluded;
};

/// The chosen endpoint.
struct Placement
{
    FleetEndpoint endpoint;
    /// Whether the endpoint is full, so that a batch item there must be preempted.
    bool preemptsBatch = false;
};

} // namespace pistachiofall
