#pragma once

#include "batch/jobcoordinatorsettings.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::tests {

/// Simulates the endpoints: runs items and counts how often each was sent.
class FakeEndpoint
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Each item is answered after the duration, and not while answers are withheld.
    std::atomic<std::chrono::milliseconds> duration{std::chrono::milliseconds{0}};
    std::atomic<bool> withholdsAnswers{false};
    /// Number of answers that are given before further ones are withheld. Used to stop in the
    /// middle of a segment.
    std::atomic<int> answersLeft{1'000'000};

    RunItem runItem()
    {
        return [this](BatchItem item, std::string, std::shared_ptr<ItemCancellation> cancellation) {
            return run(this, std::move(item), std::move(cancellation));
        };
    }

    int starts(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        return m_startCount[id];
    }

    std::size_t startedItems()
    {
        const std::scoped_lock lock(m_mutex);
        return m_startCount.size();
    }

    int totalStarts()
    {
        const std::scoped_lock lock(m_mutex);
        int total = 0;
        for (const auto &[id, count] : m_startCount)
            total += count;
        return total;
    }

    int answered() const { return m_answered; }

    TimePoint lastStart()
    {
        const std::scoped_lock lock(m_mutex);
        return m_lastStart;
    }

private:
    static boost::asio::awaitable<ItemOutcome> run(FakeEndpoint *self, BatchItem item,
                                                   std::shared_ptr<ItemCancellation> cancellation)
    {
        if (!cancellation->mayStart())
            co_return ItemNotRun{};
        self->recordStart(item.customId);
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
        auto wait = self->duration.load();
        do {
            timer.expires_after(wait);
            co_await timer.async_wait(boost::asio::use_awaitable);
            if (cancellation->isCancelled())
                co_return ItemRevoked{};
            wait = std::chrono::milliseconds{2};
        } while (self->withholdsAnswers || !self->takeAnswer());
        co_return ItemAnswer{200, "{\"answer\":" + std::to_string(++self->m_answered) + "}"};
    }

    void recordStart(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_startCount[id];
        m_lastStart = std::chrono::steady_clock::now();
    }

    bool takeAnswer() { return answersLeft.fetch_sub(1) > 0; }

    std::mutex m_mutex;
    std::map<std::string, int> m_startCount;
    TimePoint m_lastStart;
    std::atomic<int> m_answered{0};
};

} // namespace pistachiofall::tests
