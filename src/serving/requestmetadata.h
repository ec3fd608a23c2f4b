#pragma once

#include "fleet/promptpart.h"

#include <chrono>
#include <optional>
#include <string>

namespace pistachiofall {

/// The values of a caller's request headers that this system interprets.
struct RequestMetadata
{
    /// Unique for each attempt of a caller.
    std::string requestId;
    std::string host;
    /// How long the caller waits for the response, relative to the arrival of the request.
    std::optional<std::chrono::milliseconds> deadline;
    /// The API key; empty if the request has none.
    std::string key;
    /// The parts of the prompt that other requests may share, without the request's own last part.
    PromptParts sharedParts;
};

} // namespace pistachiofall
