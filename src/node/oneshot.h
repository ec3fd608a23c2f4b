#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall {

/// A value that one coroutine waits for and that any thread may set, once.
template<typename T>
class OneShot : public std::enable_shared_from_this<OneShot<T>>
{
public:
    explicit OneShot(const boost::asio::any_io_executor &executor)
        : m_timer(boost::asio::make_strand(executor))
    { }

    /// Sets the value and wakes the waiting coroutine. Later values are dropped; returns whether
    /// this one was taken.
    bool set(T value)
    {
        {
            const std::scoped_lock lock(m_mutex);
            if (m_value || m_isAbandoned)
                return false;
            m_value = std::move(value);
        }
        // The timer belongs to the strand; the post runs after a wait that has just begun.
        boost::asio::post(m_timer.get_executor(),
                          [self = this->shared_from_this()] { self->m_timer.cancel(); });
        return true;
    }

    /// Waits for the value until the deadline. After an empty return set() returns false, so a
    /// value is either seen here or known to its sender as not taken.
    boost::asio::awaitable<std::optional<T>> wait(std::chrono::steady_clock::time_point deadline)
    {
        co_return co_await boost::asio::co_spawn(m_timer.get_executor(),
                                                 waitOnStrand(this->shared_from_this(), deadline),
                                                 boost::asio::use_awaitable);
    }

private:
    static boost::asio::awaitable<std::optional<T>>
    waitOnStrand(std::shared_ptr<OneShot> self, std::chrono::steady_clock::time_point deadline)
    {
        self->m_timer.expires_at(deadline);
        if (!self->hasValue()) {
            boost::system::error_code ignored;
            co_await self->m_timer.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        const std::scoped_lock lock(self->m_mutex);
        self->m_isAbandoned = true;
        co_return std::move(self->m_value);
    }

    bool hasValue()
    {
        const std::scoped_lock lock(m_mutex);
        return m_value.has_value();
    }

    std::mutex m_mutex;
    std::optional<T> m_value;
    bool m_isAbandoned = false;
    boost::asio::steady_timer m_timer;
};

} // namespace pistachiofall
