#pragma once

#include "base/socketaddress.h"

#include <optional>

namespace pistachiofall {

/// Section [listen]: the addresses of the listeners. Port 0 selects a free port.
struct ListenSettings
{
    /// The listener for callers.
    SocketAddress callers;
    /// The listener for operators and metrics scrapers.
    SocketAddress admin;
    /// The listener for other instances.
    SocketAddress peers;
    /// The address at which other instances reach the peers listener, if it differs from its own.
    std::optional<SocketAddress> peersAdvertised;
};

} // namespace pistachiofall
