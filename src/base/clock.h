#pragma once

#include <chrono>

namespace pistachiofall {

/// The source of time. Decision logic takes it as an argument, so that tests need no waiting.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic time, for deadlines and rates. It includes the time that the process is stopped.
    virtual std::chrono::steady_clock::time_point now() const = 0;

    /// As now(), with the time for which the machine was suspended. For leases.
    virtual std::chrono::steady_clock::time_point bootNow() const = 0;

    /// Calendar time, for due times and for operators. It may jump.
    virtual std::chrono::system_clock::time_point wallNow() const = 0;
};

} // namespace pistachiofall
