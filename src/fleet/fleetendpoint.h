#pragma once

#include "base/socketaddress.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace pistachiofall {

/// One start of an endpoint, as it registered itself.
struct FleetEndpoint
{
    std::string id;
    std::string service;
    SocketAddress address;
    std::string failureDomain;
    /// Requests that it works on at once.
    int slots = 1;
    /// It finishes what it has and takes nothing more.
    bool isDraining = false;
    /// How much longer it stays cold, as of when the entry was read.
    std::chrono::milliseconds coldLeft{0};
    /// When it started, in Unix milliseconds; 0 when it did not say. Another value under the same
    /// id is another process.
    std::int64_t startedAt = 0;
};

} // namespace pistachiofall
