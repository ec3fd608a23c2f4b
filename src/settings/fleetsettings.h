#pragma once

#include "base/socketaddress.h"
#include "store/storesettings.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace pistachiofall {

/// The settings of one instance of a fleet whose configuration lies in the platform's store.
struct FleetSettings
{
    std::string name;
    std::string failureDomain;
    /// For callers; an instance without it serves none.
    std::optional<SocketAddress> callers;
    /// For the balancer's question for readiness.
    std::optional<SocketAddress> ready;
    /// For metrics; not served when it is missing.
    std::optional<SocketAddress> metrics;
    /// For other instances.
    SocketAddress peers;
    /// Where other instances may be found while the store is away.
    std::vector<SocketAddress> seeds;
    StoreSettings store;
    /// The largest object that the store accepts.
    static constexpr std::size_t DefaultMaxObjectBytes = std::size_t{1} << 20U;
    std::size_t maxObjectBytes = DefaultMaxObjectBytes;
    /// The sliding window of the organisations' limits.
    std::chrono::milliseconds quotaWindow{5000};
    /// Requests beyond a limit that operators allow in one window.
    int quotaSlack = 0;
    /// From SIGTERM until the process is killed.
    std::chrono::milliseconds stopGrace{8000};
    /// How long an endpoint whose entry lapsed with the store may be missing after its return.
    std::chrono::milliseconds lapsedEntryGrace{2000};
};

} // namespace pistachiofall
