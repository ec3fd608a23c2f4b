#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <variant>

namespace pistachiofall {

/// A request that goes to an endpoint, or a batch job that is submitted; its route tells which.
struct ForwardCall
{ };

/// Reads the results of a batch job from a position on.
struct ResultsCall
{
    std::string jobId;
    std::size_t position = 0;
    /// How long the caller lets a read wait for a result.
    std::chrono::milliseconds wait{0};
};

/// Reads the body of an item.
struct ItemBodyCall
{
    std::string jobId;
    std::string itemId;
};

/// Ends a batch job.
struct EndJobCall
{
    std::string jobId;
};

using ApiCall = std::variant<ForwardCall, ResultsCall, ItemBodyCall, EndJobCall>;

} // namespace pistachiofall
