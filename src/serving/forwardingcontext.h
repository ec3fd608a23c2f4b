#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace pistachiofall {

/// The values that this system adds to the headers of a request when it forwards it to an endpoint.
struct ForwardingContext
{
    std::string requestId;
    std::string host;
    /// The endpoint that the request is meant for. Another process at its address declines the
    /// request.
    std::string endpointId;
    /// The organisation that the caller's key belongs to; empty on public routes.
    std::string organisation;
    /// The time until the deadline of the request.
    std::chrono::milliseconds timeLeft{0};
    /// When a stream is resumed, the id of the last event that was received.
    std::optional<std::uint64_t> lastEventId;
};

} // namespace pistachiofall
