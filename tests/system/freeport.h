#pragma once

#include <cstdint>

namespace pistachiofall::tests {

/// A port that is free now. The listeners' ports have to be known before the process starts, since
/// lists of instances name them. The range lies below the one that outgoing connections take their
/// ports from, and test programs that run side by side begin at different places.
std::uint16_t freePort();

} // namespace pistachiofall::tests
