#include "coord/retrybudget.h"

namespace pistachiofall {

namespace {

std::int64_t secondNumber(RetryBudget::TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

void RetryBudget::recordRequest(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    ++secondAt(now).requests;
}

bool RetryBudget::tryRetry(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const std::uint64_t allowed = MinimumRetries + sum(&Second::requests, now) * RetryPercent / 100;
    if (sum(&Second::retries, now) >= allowed)
        return false;
    ++secondAt(now).retries;
    return true;
}

RetryBudget::Second &RetryBudget::secondAt(TimePoint now)
{
    const std::int64_t number = secondNumber(now);
    Second &second = m_seconds[static_cast<std::size_t>(number % WindowSeconds)];
    if (second.number != number)
        second = Second{number};
    return second;
}

std::uint64_t RetryBudget::sum(std::uint64_t Second::*field, TimePoint now) const
{
    const std::int64_t newest = secondNumber(now);
    std::uint64_t total = 0;
    for (const Second &second : m_seconds) {
        if (second.number > newest - WindowSeconds)
            total += second.*field;
    }
    return total;
}

} // namespace pistachiofall
