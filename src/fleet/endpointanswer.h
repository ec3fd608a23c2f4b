#pragma once

#include "fleet/fleetendpoint.h"

#include <chrono>
#include <cstdint>

namespace pistachiofall {

/// How one run of a request at an endpoint ended. Runs that this system ended itself, and those
/// that the endpoint declined, are no answers.
struct EndpointAnswer
{
    FleetEndpoint endpoint;
    /// The hash of the route's name.
    std::uint64_t route = 0;
    bool isFailure = false;
    /// The time from the grant of the slot to the last byte, for each event of a stream; of a
    /// failure it means nothing.
    std::chrono::duration<double> timePerEvent{0};
};

} // namespace pistachiofall
