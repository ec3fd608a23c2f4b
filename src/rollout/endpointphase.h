#pragma once

namespace pistachiofall {

/// The state of an engine as seen by the driver of its endpoint.
enum class EndpointPhase {
    /// The engine serves requests with its loaded version, if it has one.
    Serving,
    /// The endpoint is being drained or the engine is loading a version; no new requests are sent.
    Changing,
    /// The state of the engine could not be read.
    Unreachable,
};

} // namespace pistachiofall
