#pragma once

#include "base/result.h"
#include "cli/loadburst.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiofall {

/// A series of requests that a load run sends with one key.
struct LoadFlow
{
    std::string key;
    double ratePerSecond = 1;
    std::string model;
    bool isStream = false;
    /// Used in the report only; the key determines the organisation.
    std::string organisation{};
    /// The path of a plain service; empty to send chat completions for the model.
    std::string path{};
    std::size_t promptBytes = 0;
    /// The limit for each response; LoadOptions::maxTokens when empty.
    std::optional<int> maxTokens{};
    LoadBurst burst{};
};

/// Parses "KEY:RATE:MODEL" or, for streams, "KEY:RATE:MODEL:stream". A key "@FILE" is read from the
/// file, which keeps it out of the process list. Errors do not contain the key.
Result<LoadFlow> parseLoadFlow(std::string_view text);

} // namespace pistachiofall
