#pragma once

#include <cstdint>

namespace pistachiofall {

// Upper bounds for the parameters of a load run. They keep a value given in the wrong unit from
// exhausting the memory.
inline constexpr std::int64_t MaxLoadDurationMs = 3'600'000;
inline constexpr std::int64_t MaxLoadConnections = 10'000;
inline constexpr std::int64_t MaxLoadTokens = 1'000'000;
inline constexpr std::int64_t MaxPromptBytes = 1'000'000;
inline constexpr std::int64_t MaxLoadItems = 520'000;
inline constexpr double MaxLoadRatePerSecond = 10'000;
inline constexpr double MaxBurstFactor = 1000;
/// Bounds the memory for the latencies, which take 8 to 16 bytes per request.
inline constexpr double MaxLoadRequests = 10e6;

} // namespace pistachiofall
