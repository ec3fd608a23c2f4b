#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace pistachiofall {

/// What a caller's header says to the system.
struct RequestMetadata
{
    /// Each attempt of a caller has its own.
    std::string requestId;
    std::string host;
    /// How long the caller waits from now.
    std::optional<std::chrono::milliseconds> deadline;
    /// Empty when there is none.
    std::string key;
};

} // namespace pistachiofall
