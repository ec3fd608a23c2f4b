#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace pistachiofall {

/// What the system says to an endpoint besides the caller's request.
struct ForwardingContext
{
    std::string requestId;
    std::string host;
    /// The endpoint that is meant; another process at its address declines.
    std::string endpointId;
    /// The organisation that holds the key; empty on public routes.
    std::string organisation;
    std::chrono::milliseconds timeLeft{0};
    /// The last event that has come, when a stream goes on.
    std::optional<std::uint64_t> lastEventId;
};

} // namespace pistachiofall
