#pragma once

#include "base/result.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace pistachiofall::standins {

/// What a route of the proxy does to its connections. faultproxy.h describes the modes.
struct ProxyFault
{
    enum class Mode { Pass, Refuse, Cut, Freeze, FreezeAll, HalfOpen, Delay };

    /// Reads the query parameters of the control API; mode is required, other names are refused.
    static Result<ProxyFault> parse(const std::map<std::string, std::string> &parameters);

    Mode mode = Mode::Pass;
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds jitter{0};
    std::uint64_t seed = 0;
    bool affectsToTarget = true;
    bool affectsToClient = true;
};

std::string toString(ProxyFault::Mode mode);

} // namespace pistachiofall::standins
