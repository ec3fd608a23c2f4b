#pragma once

#include "base/result.h"
#include "base/socketaddress.h"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace pistachiofall {

/// An HTTP request that a command sends to the callers' listener of an instance.
struct CallerApiRequest
{
    SocketAddress address;
    std::string method = "GET";
    std::string target;
    std::string key;
    /// The Idempotency-Key header of a job submission; empty to send none.
    std::string idempotencyKey;
    std::string body;
    /// Applies separately to connecting and to each read and write.
    std::chrono::milliseconds timeout{30'000};
};

/// Takes the next bytes of the body of an answer.
using BodyHandler = std::function<void(std::string_view)>;

/// Sends the request, blocks until the response is complete, and passes the body of a 2xx response
/// to onBody as it arrives. Any other status gives Unavailable with the message of the response
/// body. Unavailable when the connection fails, OutcomeUnknown when the response is incomplete or
/// broken.
Result<Done> callCallerApi(const CallerApiRequest &request, const BodyHandler &onBody);

} // namespace pistachiofall
