#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachiofall {

/// Determines whether requests of a route may be retried, and the form of its responses.
enum class RouteKind {
    /// Requests are idempotent and may be retried.
    Idempotent,
    /// A request runs at most once for each attempt of a caller.
    NonIdempotent,
    /// The response is a stream of events.
    Stream,
    /// The route accepts batch jobs.
    Batch,
};

/// A service that a route sends requests to, and its weight.
struct WeightedService
{
    std::string service;
    double weight = 1;
};

/// A route in the serving configuration.
struct ServingRoute
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /// The longest time that a request may take.
    std::chrono::milliseconds timeout{0};
    /// The latency objective: the time to the response, or to the first event of a stream.
    std::chrono::milliseconds objective{0};
    /// The longest gap between two events of a stream that still meets the objective.
    std::chrono::milliseconds eventGapObjective{0};
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<WeightedService> targets;
    /// The maximum number of endpoints that one request may run on.
    int attempts = 1;
    /// Whether requests need no API key.
    bool isPublic = false;
    /// Whether an interrupted stream may be resumed at another endpoint after its last event.
    bool isResumable = false;
    /// For batch jobs: the time from submission until all results are due.
    std::chrono::milliseconds dueAfter{0};
    /// For batch jobs: the time from submission after which an item may be given up.
    std::chrono::milliseconds retention{0};
};

/// Returns whether a request of the route may be sent to a second endpoint when the first one may
/// already have run it.
inline bool isRetryable(const ServingRoute &route)
{
    return route.kind == RouteKind::Idempotent
            || (route.kind == RouteKind::Stream && route.isResumable);
}

} // namespace pistachiofall
