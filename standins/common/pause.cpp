#include "common/pause.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pistachiofall::standins {

namespace asio = boost::asio;

asio::awaitable<void> pause(std::chrono::nanoseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    co_await timer.async_wait(token);
}

} // namespace pistachiofall::standins
