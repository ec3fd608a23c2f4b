#pragma once

#include <string>

namespace pistachiofall {

/// The outcome of a batch item, as returned to callers.
struct JobResult
{
    std::string itemId;
    /// Set when the item has failed permanently: an endpoint rejected it as impossible (422), it
    /// used up its attempts, its job's retention ran out, or its route no longer exists.
    bool isDead = false;
    /// The data of all events in order, joined by line feeds; empty if the item is dead.
    std::string output;
};

} // namespace pistachiofall
