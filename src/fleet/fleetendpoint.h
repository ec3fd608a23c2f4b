#pragma once

#include "base/socketaddress.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace pistachiofall {

/// An endpoint as one of its processes registered it.
struct FleetEndpoint
{
    std::string id;
    std::string service;
    SocketAddress address;
    std::string failureDomain;
    /// The number of requests that it processes concurrently.
    int slots = 1;
    /// A draining endpoint finishes its requests and accepts no new ones.
    bool isDraining = false;
    /// The time for which it stays cold, counted from when the entry was read.
    std::chrono::milliseconds coldRemaining{0};
    /// The start time of the process in Unix milliseconds, or 0 if it was not reported. A different
    /// value under the same id means a different process.
    std::int64_t startedAt = 0;
    /// The version of its software; empty if it was not reported.
    std::string version = {};
};

} // namespace pistachiofall
