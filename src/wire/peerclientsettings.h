#pragma once

#include <chrono>

namespace pistachiofall {

/// The times of a peer client. The defaults are those of the design; tests of other modules may
/// shorten them.
struct PeerClientSettings
{
    std::chrono::milliseconds connectTimeout{1000};
    /// A connection that owes an answer and sends nothing for this long is probed.
    std::chrono::milliseconds probeAfter{2000};
    /// A connection that sends nothing for this long after a probe is closed.
    std::chrono::milliseconds closeAfter{2000};
    /// A connection without calls is closed after this time. In a large fleet heartbeats go to
    /// random members, and a member's turn comes every few minutes.
    std::chrono::milliseconds idleTimeout{std::chrono::minutes{5}};
};

} // namespace pistachiofall
