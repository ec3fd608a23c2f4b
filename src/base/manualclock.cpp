#include "base/manualclock.h"

namespace pistachiofall {

std::chrono::steady_clock::time_point ManualClock::now() const
{
    return std::chrono::steady_clock::time_point{m_elapsed.load()};
}

std::chrono::system_clock::time_point ManualClock::wallNow() const
{
    using std::chrono::system_clock;
    constexpr std::chrono::hours Epoch{24 * 365 * 50};
    return system_clock::time_point{
            std::chrono::duration_cast<system_clock::duration>(Epoch + m_elapsed.load())};
}

void ManualClock::advance(std::chrono::nanoseconds duration)
{
    m_elapsed = m_elapsed.load() + duration;
}

} // namespace pistachiofall
