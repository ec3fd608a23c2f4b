#pragma once

#include "http/trafficclass.h"

#include <chrono>
#include <cstddef>
#include <limits>

namespace pistachiofall {

/// Whether a request may run more than once.
enum class Idempotency {
    /// May use a pooled connection, which the endpoint may close as the request is on its way.
    Idempotent,
    /// Always uses a fresh connection.
    NonIdempotent,
};

/// How one call to an endpoint is made.
struct CallOptions
{
    TrafficClass trafficClass = TrafficClass::Online;
    Idempotency idempotency = Idempotency::NonIdempotent;
    std::chrono::milliseconds connectTimeout{1000};
    /// The longest time in which the endpoint takes less than 1 KB of the request.
    std::chrono::milliseconds writeTimeout{5000};
    /// From the end of the request to the first byte of the answer's body. It covers the header
    /// too: engines send that at once and the first token later.
    std::chrono::milliseconds firstByteTimeout{30000};
    /// Between two pieces of the body.
    std::chrono::milliseconds gapTimeout{10000};
    /// For the whole body of an answer that is read by EndpointCall::readRefusal().
    std::chrono::milliseconds refusalTimeout{500};
    /// The longest body that is read; a longer one ends the call with TooLarge.
    std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max();
    /// Whether the orderly end of the connection may be the end of an answer that has neither a
    /// length nor chunks.
    bool acceptsEndByClose = false;
};

} // namespace pistachiofall
