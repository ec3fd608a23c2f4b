#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace pistachiofall::standins {

/// How many of the next requests a fault is applied to. Safe to use from several threads.
class Countdown
{
public:
    /// Sets the number from a control parameter: a number, "on" for all or "off" for none. False
    /// when it is something else.
    bool set(const std::string &text);

    /// Whether the fault applies to this request; counts it.
    bool take();

private:
    std::atomic<std::int64_t> m_left{0};
};

} // namespace pistachiofall::standins
