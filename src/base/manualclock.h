#pragma once

#include "base/clock.h"

#include <atomic>

namespace pistachiofall {

/// A clock that moves only when told to, for tests and experiments.
class ManualClock final : public Clock
{
public:
    std::chrono::steady_clock::time_point now() const override;
    std::chrono::steady_clock::time_point bootNow() const override { return now(); }
    std::chrono::system_clock::time_point wallNow() const override;

    /// Moves both times forward.
    void advance(std::chrono::nanoseconds duration);

private:
    // Starts above zero, so that subtracting a timeout from the first time stays positive.
    std::atomic<std::chrono::nanoseconds> m_elapsed{std::chrono::hours{1}};
};

} // namespace pistachiofall
