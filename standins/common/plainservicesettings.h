#pragma once

#include <chrono>

namespace pistachiofall::standins {

/// How the plain service stand-in behaves.
struct PlainServiceSettings
{
    /// How long a call takes.
    std::chrono::milliseconds delay{0};
    /// Closes a connection that is idle for this long; never when it is zero.
    std::chrono::milliseconds closeIdle{0};
};

} // namespace pistachiofall::standins
