#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pistachiofall::standins {

/// Wakes coroutines that wait for a change. Read the generation, look at the state, then wait with
/// that generation, and no change is missed. Safe to use from several threads; each waiting
/// coroutine must run on a strand or a single thread.
class ChangeSignal
{
public:
    std::uint64_t generation() const;

    void notifyAll();

    /// Returns when the generation is not the one given, or at the time given.
    boost::asio::awaitable<void> wait(std::uint64_t seen,
                                      std::chrono::steady_clock::time_point until);

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_generation = 0;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> m_waiters;
};

} // namespace pistachiofall::standins
