#pragma once

#include "wire/messages.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// What a handler knows of a request besides its envelope.
struct PeerRequestContext
{
    /// The time of receipt plus the time left that the caller sent. A reply after it is dropped.
    std::chrono::steady_clock::time_point deadline;

    /// Becomes true when the connection has closed, so that no reply can reach the caller.
    std::shared_ptr<const std::atomic<bool>> isCallerGone;
};

/// Runs one request. The envelope lives until the coroutine ends. An empty body says that the
/// request was not run; the caller sees Unavailable.
using PeerHandler = std::function<boost::asio::awaitable<wire::BodyUnion>(const wire::EnvelopeT &,
                                                                          PeerRequestContext)>;

} // namespace pistachiofall
