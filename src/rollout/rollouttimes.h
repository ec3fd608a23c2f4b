#pragma once

#include "coord/coordtimes.h"

#include <chrono>

namespace pistachiofall {

/// The interval at which a driver reports its endpoints to the rollout coordinator.
inline constexpr std::chrono::milliseconds ReportInterval{2000};

/// A driver discards a permission that arrives more than this after it sent the report.
inline constexpr std::chrono::milliseconds PermissionTimeout{1500};

/// A report older than this is stale. Two consecutive lost reports are tolerated.
inline constexpr std::chrono::milliseconds ReportLifetime = 3 * ReportInterval;

/// How long a new coordinator waits before it permits any change. The former coordinator may still
/// grant permissions until it is isolated, and a driver may act on one for up to PermissionTimeout.
/// A report that is not stale at the end of this delay was sent after that, so it shows such a
/// change even if the reports in between were lost.
inline constexpr std::chrono::milliseconds CoordinatorStartupDelay =
        TakeoverDelay + 2 * PermissionTimeout + ReportLifetime;

/// How long an endpoint is drained at most. The load aborts requests that are still in flight then.
inline constexpr std::chrono::milliseconds DrainTimeout{120'000};

} // namespace pistachiofall
