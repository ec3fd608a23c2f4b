#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachiofall {

/// What may be repeated on a route, and the shape of its answers.
enum class RouteKind {
    /// Idempotent.
    Safe,
    /// Runs at most once for each attempt of a caller.
    Unsafe,
    /// The answer is a series of events.
    Stream,
    /// Takes batch jobs.
    Batch,
};

/// One service that a route sends to, and its share.
struct WeightedService
{
    std::string service;
    double weight = 1;
};

/// One route of the serving configuration.
struct ServingRoute
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Unsafe;
    /// The longest time that a request may be kept waiting.
    std::chrono::milliseconds timeout{0};
    /// The latency objective: to the answer, or to the first event of a stream.
    std::chrono::milliseconds objective{0};
    /// The longest pause between two events of a stream that is still on time.
    std::chrono::milliseconds gapObjective{0};
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<WeightedService> targets;
    /// The greatest number of endpoints that one request may run on.
    int attempts = 1;
    /// Whether requests need no key.
    bool isPublic = false;
    /// Whether a stream may go on at another endpoint after its last event.
    bool isResumable = false;
    /// For batch jobs: from submission until all results are due.
    std::chrono::milliseconds dueAfter{0};
    /// For batch jobs: from submission until an item may be given up.
    std::chrono::milliseconds retention{0};
};

/// Whether a request of the route may be sent to a second endpoint after the first may have run it.
inline bool mayRepeat(const ServingRoute &route)
{
    return route.kind == RouteKind::Safe || (route.kind == RouteKind::Stream && route.isResumable);
}

} // namespace pistachiofall
