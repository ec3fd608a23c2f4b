#pragma once

#include "base/socketaddress.h"
#include "base/systemmemory.h"
#include "fleet/rollout.h"
#include "store/storesettings.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace pistachiofall {

/// The settings of one instance of a fleet whose configuration is kept in the platform's store.
struct FleetSettings
{
    std::string name;
    std::string failureDomain;
    /// The listener for callers; an instance without it serves no callers.
    std::optional<SocketAddress> callers;
    /// The listener for the readiness checks of the load balancer.
    std::optional<SocketAddress> ready;
    /// The listener for metrics; they are not served when it is missing.
    std::optional<SocketAddress> metrics;
    /// The listener for other instances.
    SocketAddress peers;
    /// Addresses at which other instances may be found while the store is unavailable.
    std::vector<SocketAddress> seeds;
    StoreSettings store;
    /// The maximum size of an object that the store accepts.
    static constexpr std::size_t DefaultMaxObjectBytes = std::size_t{1} << 20U;
    std::size_t maxObjectBytes = DefaultMaxObjectBytes;
    /// The memory that the process may use, in bytes. Many processes may share a machine, so that
    /// the default is not the machine's.
    static constexpr std::size_t DefaultMemoryBytes = std::size_t{256} << 20U;
    std::size_t memoryBytes = std::min(systemMemoryBytes(), DefaultMemoryBytes);
    /// The sliding window over which the limits of organisations are enforced.
    std::chrono::milliseconds quotaWindow{5000};
    /// The excess over a limit that operators tolerate in one window: a part of the limit, and a
    /// number of requests.
    double quotaOver = 0.1;
    double quotaSlack = 0;
    /// The time between SIGTERM and the kill of the process.
    std::chrono::milliseconds stopGrace{8000};
    /// The time within which a change by an operator or an endpoint must be known everywhere.
    std::chrono::milliseconds changeBound{2000};
    /// The time after the end of a batch job from which none of its items may start.
    std::chrono::milliseconds cancelBound{3000};
    /// The time for which work that can be done may be held back beside idle endpoints.
    std::chrono::milliseconds finishBound{18000};
    /// How long an endpoint whose entry expired during a store outage may be missing after the
    /// store is available again.
    std::chrono::milliseconds lapsedEntryGrace{2000};
    /// Whether batch items leave room for the recent peak of online requests while they have time.
    bool leavesRoomForPeaks = false;
    /// Whether endpoints that are faster than others get more of the requests.
    bool learnsSpeeds = false;
    /// Whether endpoints that have failed requests of any instance lately get fewer of them.
    bool sharesFailures = false;
    /// Whether reports to other failure domains carry the usage by the whole own one.
    bool summarisesUsage = false;
    /// Whether organisations that take more than their share wait behind the others.
    bool sharesRoomFairly = false;
    /// The bounds on rollouts of versions. Without them the instance takes no orders for rollouts.
    std::optional<RolloutBounds> rollouts = std::nullopt;
};

} // namespace pistachiofall
