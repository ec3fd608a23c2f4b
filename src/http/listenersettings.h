#pragma once

#include "http/bufferbudget.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace pistachiofall {

/// What one listener lets its callers use.
struct ListenerSettings
{
    /// The label "listener" of its metrics, such as "callers" or "admin".
    std::string name = "callers";

    /// For the request line, and again for all header fields.
    std::uint32_t maxHeaderBytes = 16 * 1024;
    /// Connections served at once; further ones are answered 503 and closed.
    std::size_t maxConnections = 4096;

    /// From the first byte of a request to the end of its header, and from the accept of a
    /// connection to its first byte.
    std::chrono::milliseconds headerTimeout{5000};
    /// How long a connection may wait for its next request.
    std::chrono::milliseconds idleTimeout{75000};
    /// The longest time in which the caller sends, or takes, less than minProgressBytes while the
    /// handler reads the body or writes the answer. A plain limit on the time between two bytes
    /// would let a caller that trickles hold an endpoint's slot for hours.
    std::chrono::milliseconds bodyTimeout{10000};
    std::chrono::milliseconds writeTimeout{10000};
    std::size_t minProgressBytes = 1024;

    /// The memory for the bodies that are held whole; null for no limit.
    std::shared_ptr<BufferBudget> bodyBudget = nullptr;

    /// How long a stopped listener waits for one more request on an idle connection. Closing it at
    /// once would cut a request that is on its way.
    std::chrono::milliseconds stopIdleGrace{1000};
};

} // namespace pistachiofall
