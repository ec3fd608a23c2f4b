#pragma once

#include "coord/coordtimes.h"

#include <chrono>
#include <deque>

namespace pistachiofall {

/// The largest number of online requests that ran or waited at once in the recent past, for one
/// service over the whole fleet. Online load comes in waves that are shorter than a batch item, so
/// that an item which starts between two of them is still running in the next one. What the recent
/// waves needed is therefore kept free of batch items while there is time for them elsewhere.
///
/// Not thread safe.
class OnlinePeak
{
public:
    /// Takes the present number of requests. Reports of peers overlap for a moment when requests
    /// move, so a number counts only if it has been reached twice in its interval.
    void record(int requests, SteadyTime now);

    /// The largest number within the memory; 0 without any.
    int value(SteadyTime now) const;

    /// Longer than two waves, so that the next one is expected while the last one is remembered.
    static constexpr std::chrono::milliseconds Memory{15000};

private:
    struct Interval
    {
        SteadyTime begin;
        int largest = 0;
        int second = 0;
    };

    std::deque<Interval> m_intervals;
};

/// The batch items that one endpoint may run while online requests need as many slots as in the
/// recent peak, spread over the endpoints; at least one, so that batch work never stops.
int batchSlotsBesidePeak(int slotsOfEndpoint, int peakRequests, int endpoints);

} // namespace pistachiofall
