#pragma once

#include "rollout/endpointphase.h"

#include <optional>
#include <string>

namespace pistachiofall {

/// The result of EndpointDriver::step().
struct DriverStep
{
    /// The phase to report to the rollout coordinator.
    EndpointPhase phase = EndpointPhase::Unreachable;
    /// The version to send a single load command for; empty when no command is to be sent.
    std::optional<std::string> versionToLoad;
};

} // namespace pistachiofall
