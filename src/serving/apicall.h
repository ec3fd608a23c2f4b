#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <variant>

namespace pistachiofall {

/// A request to forward to an endpoint, or the submission of a batch job. The kind of its route
/// decides which.
struct ForwardCall
{ };

/// Reads the results of a batch job, starting at a position.
struct ResultsCall
{
    std::string jobId;
    std::size_t position = 0;
    /// Long-poll timeout: how long the read may wait for a result.
    std::chrono::milliseconds wait{0};
};

/// Reads the request body of one item of a batch job.
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

/// A call of a caller, decoded from its method, path, query and headers.
using ApiCall = std::variant<ForwardCall, ResultsCall, ItemBodyCall, EndJobCall>;

} // namespace pistachiofall
