#include "base/systemclock.h"

#include <ctime>

namespace pistachiofall {

std::chrono::steady_clock::time_point SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

std::chrono::steady_clock::time_point SystemClock::bootNow() const
{
    timespec time{};
    if (clock_gettime(CLOCK_BOOTTIME, &time) != 0)
        return now();
    return std::chrono::steady_clock::time_point(std::chrono::seconds{time.tv_sec}
                                                 + std::chrono::nanoseconds{time.tv_nsec});
}

std::chrono::system_clock::time_point SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace pistachiofall
