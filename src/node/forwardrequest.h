#pragma once

#include "coord/workclass.h"
#include "http/calloptions.h"
#include "http/endpointrequest.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pistachiofall {

/// A request on its way to one of the endpoints of a model or of a service.
struct ForwardRequest
{
    /// Either the model or the service is set.
    std::string model;
    std::string service;
    /// Empty on open routes.
    std::string organisation;
    /// The hash of what comes first in a prompt; empty when there is no prompt.
    std::optional<std::uint64_t> prefix;
    WorkClass workClass = WorkClass::Online;
    Idempotency idempotency = Idempotency::NonIdempotent;
    std::shared_ptr<const EndpointRequest> request;
    /// Asked directly before anything is sent; a request without it may always start.
    std::function<bool()> mayStart;
    /// How long to wait for a slot, all endpoints together.
    std::chrono::milliseconds slotWait{0};
};

} // namespace pistachiofall
