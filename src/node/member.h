#pragma once

#include "base/socketaddress.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace pistachiofall {

/// What this instance knows of another one.
struct Member
{
    std::string name;
    std::string failureDomain;
    SocketAddress address;
    /// Zero until the first heartbeat.
    std::uint64_t incarnation = 0;
    bool isListed = false;
    bool isLeaving = false;
    /// The process with this incarnation has said that nothing of it is in flight any more.
    bool isDrained = false;
    std::uint64_t rulesVersion = 0;
    std::uint64_t tableEpoch = 0;
    std::optional<std::chrono::steady_clock::time_point> lastHeard = std::nullopt;
    /// When the newest heartbeat to it that got no answer was sent.
    std::optional<std::chrono::steady_clock::time_point> lastUnanswered = std::nullopt;
};

} // namespace pistachiofall
