#pragma once

#include <chrono>

namespace pistachiofall {

/// A period in which a flow sends at a multiple of its rate. Times are offsets from the start of
/// the run.
struct LoadBurst
{
    double factor = 1;
    std::chrono::nanoseconds begin{0};
    std::chrono::nanoseconds end{0};
};

/// Maps the send time that a request has without the burst to its send time with the burst. Scaling
/// the time axis keeps the gaps exponentially distributed and the order that the seed gives.
std::chrono::nanoseconds applyBurst(const LoadBurst &burst, std::chrono::nanoseconds offset);

} // namespace pistachiofall
