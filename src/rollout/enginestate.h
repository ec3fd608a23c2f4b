#pragma once

#include <cstdint>
#include <string>

namespace pistachiofall {

/// The versions of its model that an engine reports.
struct EngineState
{
    /// The version that serves requests; empty when none is loaded.
    std::string version;
    /// The version that was loaded before; empty when there was none.
    std::string previousVersion;
    /// The version being loaded; empty when no load is in progress.
    std::string loadingVersion;
    /// The version that most recently failed to load; empty if there is none. The next load command
    /// clears it.
    std::string failedVersion;
    /// The highest fencing token that the engine has received.
    std::uint64_t fencingToken = 0;
};

} // namespace pistachiofall
