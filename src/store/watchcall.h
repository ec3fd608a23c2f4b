#pragma once

#include "base/result.h"
#include "store/connectionpool.h"
#include "store/storedobject.h"

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall::store::detail {

/// What a watch waits for, and how long.
struct WatchRequest
{
    /// The path of the collection of objects.
    std::string path;
    std::string name;
    /// The version that the caller has; empty to wait until the object exists.
    std::string version;
    /// How long the store waits, in the whole seconds of timeoutSeconds: rounded up, at least one.
    std::chrono::milliseconds timeout{0};
    /// For the connection and the head of the answer, and for the end of the answer after the
    /// store's wait.
    std::chrono::milliseconds callTimeout{0};
};

/// Runs a watch on one object until it has another version. TimedOut when the store ended the watch
/// without a change, NotFound when the object was removed, Unavailable when the connection failed
/// or went silent, or the store ended the watch in the first half of its time. A version that the
/// store no longer knows is replaced by a watch that begins with the present state.
boost::asio::awaitable<Result<StoredObject>> watchCall(std::shared_ptr<ConnectionPool> pool,
                                                       WatchRequest request);

} // namespace pistachiofall::store::detail
