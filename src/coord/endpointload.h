#pragma once

#include "coord/workclass.h"

#include <chrono>
#include <optional>

namespace pistachiofall {

/// The load of an endpoint as reported by its owner.
struct EndpointLoad
{
    int inFlight = 0;
    int limit = 0;
    int queuedOnline = 0;
    /// Batch slots that the owner can revoke for waiting online requests.
    int revocable = 0;
    /// Batch requests get a slot only while fewer than this number of requests are in flight. Empty
    /// if the owner did not report it; batchShare() is assumed then.
    std::optional<int> batchLimit{};
    /// How long the newest revocable slot has been in use, which is the work that its revocation
    /// loses.
    std::chrono::milliseconds newestRevocableAge{0};
};

/// Returns how many slots of a limit batch requests may use beside the largest reserve for online
/// requests, which is a quarter, rounded up. There is no reserve if the limit is one.
int batchShare(int limit);

/// Returns whether a new request of the class would have to wait.
bool isFull(const EndpointLoad &load, WorkClass workClass);

} // namespace pistachiofall
