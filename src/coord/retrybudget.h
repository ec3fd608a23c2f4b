#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>

namespace pistachiofall {

/// Limits retries to a share of the requests of the last ten seconds, so that retries do not
/// amplify an overload. Thread safe.
class RetryBudget
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    void recordRequest(TimePoint now);

    /// Takes one retry from the budget; returns false if it is exhausted.
    bool tryRetry(TimePoint now);

    static constexpr int WindowSeconds = 10;
    static constexpr int RetryPercent = 10;
    /// Retries that are allowed in each window regardless of the number of requests, so that an
    /// instance with little traffic can still avoid one endpoint that is down.
    static constexpr std::uint64_t MinimumRetries = 3;

private:
    struct Second
    {
        std::int64_t number = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    Second &secondAt(TimePoint now);
    std::uint64_t sum(std::uint64_t Second::*field, TimePoint now) const;

    std::mutex m_mutex;
    std::array<Second, WindowSeconds> m_seconds;
};

} // namespace pistachiofall
