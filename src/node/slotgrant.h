#pragma once

#include "coord/endpointload.h"
#include "coord/workclass.h"
#include "wire/messages.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace pistachiofall {

/// An instance's request for a slot, as the owner of the endpoint gets it.
struct SlotAsk
{
    std::string endpoint;
    WorkClass workClass = WorkClass::Online;
    std::string instance;
    std::chrono::steady_clock::time_point deadline;
    std::chrono::steady_clock::time_point waitingSince{};
};

/// The owner's answer. The slot id means something only when the outcome is Granted.
struct SlotAnswer
{
    wire::SlotOutcome outcome = wire::SlotOutcome::NotOwner;
    std::uint64_t slotId = 0;
    std::uint64_t epoch = 0;
    EndpointLoad load;
};

} // namespace pistachiofall
