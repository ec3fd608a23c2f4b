#pragma once

#include "base/result.h"

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Reads the rule version of an instance from /status on its admin listener (IP:PORT).
/// InvalidArgument for a malformed address, Unavailable without a complete response of status 200,
/// ProtocolError when the response has no rule version.
boost::asio::awaitable<Result<std::uint64_t>> fetchRulesVersion(std::string adminAddress,
                                                                std::chrono::milliseconds timeout);

} // namespace pistachiofall
