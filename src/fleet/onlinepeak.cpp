#include "fleet/onlinepeak.h"

#include <algorithm>
#include <cmath>

namespace pistachiofall {

namespace {

constexpr std::chrono::milliseconds IntervalLength{500};
// Requests are spread over the endpoints unevenly, as each instance knows late what the others
// send.
constexpr double Unevenness = 1.15;

} // namespace

void OnlinePeak::record(int requests, SteadyTime now)
{
    if (m_intervals.empty() || now - m_intervals.back().begin >= IntervalLength)
        m_intervals.push_back({now, 0, 0});
    Interval &interval = m_intervals.back();
    interval.second = std::max(interval.second, std::min(interval.largest, requests));
    interval.largest = std::max(interval.largest, requests);
    while (now - m_intervals.front().begin > Memory)
        m_intervals.pop_front();
}

int OnlinePeak::value(SteadyTime now) const
{
    int peak = 0;
    for (const Interval &interval : m_intervals) {
        if (now - interval.begin <= Memory)
            peak = std::max(peak, interval.second);
    }
    return peak;
}

int batchSlotsBesidePeak(int slotsOfEndpoint, int peakRequests, int endpoints)
{
    if (endpoints <= 0)
        return slotsOfEndpoint;
    const double perEndpoint = Unevenness * peakRequests / endpoints;
    return std::max(1, slotsOfEndpoint - static_cast<int>(std::ceil(perEndpoint)));
}

} // namespace pistachiofall
