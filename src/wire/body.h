#pragma once

#include "wire/messages.h"

#include <string>
#include <utility>

namespace pistachiofall {

/// Wraps one message, such as a wire::HeartbeatT, for an envelope.
template<typename Message>
wire::BodyUnion makeBody(Message message)
{
    wire::BodyUnion body;
    body.Set(std::move(message));
    return body;
}

/// The name of a message type as metrics and errors show it, such as "Heartbeat"; "NONE" is an
/// empty body.
std::string messageName(wire::Body type);

} // namespace pistachiofall
