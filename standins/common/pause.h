#pragma once

#include <chrono>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall::standins {

/// Waits for the time.
boost::asio::awaitable<void> pause(std::chrono::nanoseconds time);

} // namespace pistachiofall::standins
