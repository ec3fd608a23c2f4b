#pragma once

#include <array>
#include <chrono>
#include <cstdint>

namespace pistachiofall {

/// Counts online requests at an endpoint in a sliding window, to estimate how many slots must be
/// free so that most of them need not wait for a revocation. The estimate rises with each arrival
/// and falls when the busiest interval leaves the window. Not thread safe.
class OnlineArrivals
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    void record(TimePoint now);

    /// Returns the expected number of arrivals while a revocation takes place, at the rate of the
    /// busiest interval of the window, rounded.
    int duringRevocation(TimePoint now) const;

    /// Arrivals are counted in intervals of this length.
    static constexpr std::chrono::milliseconds Interval{250};
    /// Intervals in the window, including the current one. A burst keeps its reserve for a second.
    static constexpr std::int64_t WindowIntervals = 4;
    /// The assumed duration of a revocation: the notice to the holder, the end of the batch stream
    /// and the release at the owner.
    static constexpr std::chrono::milliseconds RevocationTime{50};

private:
    struct Count
    {
        std::int64_t interval = -WindowIntervals;
        int arrivals = 0;
    };

    std::array<Count, WindowIntervals> m_counts;
};

} // namespace pistachiofall
