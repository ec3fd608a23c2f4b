#pragma once

#include "coord/coordtimes.h"

#include <chrono>

namespace pistachiofall {

/// How often a driver reports its endpoints to the rollout coordinator.
inline constexpr std::chrono::milliseconds ReportInterval{2000};

/// A driver drops a permission that it gets later than this after it sent the report.
inline constexpr std::chrono::milliseconds PermissionBound{1500};

/// A report says nothing about the endpoint any more when it is older. Two lost reports are
/// bridged.
inline constexpr std::chrono::milliseconds ReportLifetime = 3 * ReportInterval;

/// How long a new coordinator permits nothing. The former one may permit until it is isolated, and
/// a driver may use that permission until PermissionBound. A report that is recent after this time
/// was sent after that, so it shows the change even if those in between were lost.
inline constexpr std::chrono::milliseconds CoordinatorQuietTime =
        TakeoverDelay + 2 * PermissionBound + ReportLifetime;

/// How long an endpoint is drained. Requests that take longer are broken off by the load.
inline constexpr std::chrono::milliseconds DrainBound{120'000};

} // namespace pistachiofall
