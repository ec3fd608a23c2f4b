#pragma once

#include "fleet/fleetendpoint.h"

#include <chrono>
#include <cstdint>
#include <limits>
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
    /// The endpoint at which a batch item has run before and may still have its prompt; empty if
    /// there is none.
    std::string previousEndpoint = {};
    /// The number of the present turn of BatchTurns.
    std::uint64_t batchTurn = 0;
    /// Slots that a batch item leaves free beyond the margin, because others go before it.
    int extraMargin = 0;
    /// A batch item that would miss its due time if it waited longer. It takes any free slot beyond
    /// the margin; others leave room for the next peak of online requests, too.
    bool isUrgent = false;
};

/// The slots that batch items leave free at each endpoint. Other instances may use an endpoint of
/// another failure domain for longer before this one knows.
struct FreeSlotMargin
{
    int sameDomain = 0;
    int otherDomain = 0;
    /// The batch items that may run at an endpoint.
    int maxBatch = std::numeric_limits<int>::max();
};

/// How long ago the usage of endpoints by other instances was reported, at most, by the failure
/// domain of the endpoint.
struct UsageAge
{
    std::chrono::milliseconds sameDomain{0};
    std::chrono::milliseconds otherDomain{0};
};

/// The chosen endpoint.
struct Placement
{
    FleetEndpoint endpoint;
    /// Whether the endpoint is full, so that a batch item there must be preempted.
    bool preemptsBatch = false;
};

} // namespace pistachiofall
