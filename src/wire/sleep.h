#pragma once

#include <chrono>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Suspends the coroutine for the duration.
boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds duration);

} // namespace pistachiofall
