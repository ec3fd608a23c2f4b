#pragma once

#include "rollout/endpointphase.h"

#include <cstdint>
#include <string>

namespace pistachiofall {

/// The state of an endpoint as its driver reports it to the rollout coordinator.
struct EndpointReport
{
    std::string endpoint;
    /// The loaded version; empty when none is loaded.
    std::string version;
    /// The version that most recently failed to load; empty if there is none.
    std::string failedVersion;
    EndpointPhase phase = EndpointPhase::Unreachable;
    /// The fencing token of the driver, followed by the sequence number of the report. Together
    /// they order the reports of an endpoint, so that a report delayed in transit is ignored.
    std::uint64_t fencingToken = 0;
    std::uint64_t sequence = 0;
};

} // namespace pistachiofall
