#pragma once

#include "fleet/fleetendpoint.h"

#include <set>
#include <string>

namespace pistachiofall {

/// What a request needs of an endpoint.
struct PlacementRequest
{
    std::string service;
    /// Where the request came in; an endpoint there is preferred among equals.
    std::string failureDomain;
    /// Spreads equal choices.
    std::string key;
    /// Endpoints that this request has used already.
    std::set<std::string> excluded;
};

/// The endpoint that was chosen.
struct Placement
{
    FleetEndpoint endpoint;
    /// The endpoint is full, and a batch item there has to make room.
    bool displacesBatch = false;
};

} // namespace pistachiofall
