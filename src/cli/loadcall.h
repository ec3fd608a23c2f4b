#pragma once

#include "base/socketaddress.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace pistachiofall {

/// A request of a load run.
struct LoadCall
{
    SocketAddress address;
    std::string key;
    std::string body;
    bool isStream = false;
    std::chrono::steady_clock::time_point intendedSendTime;
    std::chrono::steady_clock::time_point deadline;
    /// An idle connection to reuse; empty to open a new one.
    std::unique_ptr<boost::beast::tcp_stream> connection;
    std::string target = "/v1/chat/completions";
    /// The X-Request-Id header, by which plain services detect repeated requests; empty for none.
    std::string requestId{};
};

/// The outcome of a request of a load run.
struct LoadCallResult
{
    /// One of the keys of LoadResult::counts.
    std::string outcome = "error";
    std::chrono::nanoseconds latency{0};
    std::optional<std::chrono::nanoseconds> firstToken;
    std::vector<std::chrono::nanoseconds> gaps;
    /// The connection if it can be reused.
    std::unique_ptr<boost::beast::tcp_stream> connection;
};

/// Sends the request and reads the whole response. Gives up at the deadline.
boost::asio::awaitable<LoadCallResult> makeLoadCall(LoadCall call);

} // namespace pistachiofall
