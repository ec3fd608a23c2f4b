#pragma once

#include <string>

namespace pistachiofall {

/// The outcome of an item as its callers read it.
struct JobResult
{
    std::string itemId;
    /// Given up: it can not be done, failed too often, or its job or route ended.
    bool isDead = false;
    /// The data of all events in order, joined by line feeds; empty when the item is dead.
    std::string output;
};

} // namespace pistachiofall
