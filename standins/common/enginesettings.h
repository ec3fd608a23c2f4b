#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace pistachiofall::standins {

/// How the model engine stand-in behaves.
struct EngineSettings
{
    std::string model = "model";
    /// Requests that run side by side at full speed.
    std::size_t slots = 16;
    std::chrono::milliseconds firstToken{100};
    std::chrono::milliseconds tokenGap{20};
    /// How long the engine is cold after its start.
    std::chrono::milliseconds coldTime{0};
    /// Requests in flight that the cold engine takes; one more makes it collapse.
    std::size_t coldSlots = 2;
    /// How old the load in /metrics is.
    std::chrono::milliseconds metricsLag{500};
    /// How many blocks of prompt prefixes the engine keeps; 0 for none.
    std::size_t prefixBlocks = 0;
    std::size_t prefixBlockCharacters = 64;
    /// The version that it has loaded at its start; answers name it unless it is empty.
    std::string version{};
    /// How long it takes to load another version.
    std::chrono::milliseconds loadTime{1000};
    /// Whether it rejects commands with an old fencing number.
    bool checksFencing = true;
};

} // namespace pistachiofall::standins
