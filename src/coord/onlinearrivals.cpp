#include "coord/onlinearrivals.h"

#include <algorithm>

namespace pistachiofall {

namespace {

std::int64_t intervalAt(OnlineArrivals::TimePoint now)
{
    return now.time_since_epoch() / OnlineArrivals::Interval;
}

} // namespace

void OnlineArrivals::record(TimePoint now)
{
    const std::int64_t interval = intervalAt(now);
    Count &count = m_counts[static_cast<std::size_t>(interval % WindowIntervals)];
    if (count.interval != interval)
        count = {interval, 0};
    ++count.arrivals;
}

int OnlineArrivals::duringRevocation(TimePoint now) const
{
    const std::int64_t oldest = intervalAt(now) - WindowIntervals + 1;
    int busiest = 0;
    for (const Count &count : m_counts) {
        if (count.interval >= oldest)
            busiest = std::max(busiest, count.arrivals);
    }
    return static_cast<int>((busiest * RevocationTime + Interval / 2) / Interval);
}

} // namespace pistachiofall
