#include "common/changesignal.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;

std::uint64_t ChangeSignal::generation() const
{
    const std::scoped_lock lock(m_mutex);
    return m_generation;
}

void ChangeSignal::notifyAll()
{
    std::vector<std::shared_ptr<asio::steady_timer>> waiters;
    {
        const std::scoped_lock lock(m_mutex);
        ++m_generation;
        waiters.swap(m_waiters);
    }
    // Posted to the waiter's strand, so that the timer is cancelled only after its wait has begun.
    for (const auto &timer : waiters)
        asio::post(timer->get_executor(), [timer] { timer->cancel(); });
}

asio::awaitable<void> ChangeSignal::wait(std::uint64_t seen,
                                         std::chrono::steady_clock::time_point until)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto timer = std::make_shared<asio::steady_timer>(executor, until);
    {
        const std::scoped_lock lock(m_mutex);
        if (m_generation != seen)
            co_return;
        m_waiters.push_back(timer);
    }
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const std::scoped_lock lock(m_mutex);
    std::erase(m_waiters, timer);
}

} // namespace pistachiofall::standins
