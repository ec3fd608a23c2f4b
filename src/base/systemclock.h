#pragma once

#include "base/clock.h"

namespace pistachiofall {

/// The clocks of the operating system.
class SystemClock final : public Clock
{
public:
    std::chrono::steady_clock::time_point now() const override;
    std::chrono::steady_clock::time_point bootNow() const override;
    std::chrono::system_clock::time_point wallNow() const override;
};

} // namespace pistachiofall
