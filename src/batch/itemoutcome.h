#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace pistachiofall {

/// The endpoint returned a final answer.
struct ItemAnswer
{
    std::uint16_t status = 200;
    std::string body;
};

/// The attempt failed and another one may succeed. A non-idempotent item is not retried.
struct ItemRetryable
{
    /// HTTP status, or 0 if there was no answer.
    std::uint16_t status = 0;
    std::string code;
    std::string message;
};

/// The item failed permanently and is not retried.
struct ItemFailed
{
    std::uint16_t status = 0;
    std::string code;
    std::string message;
};

/// The item was stopped after it was sent and before its answer was complete, because its slot was
/// revoked or it was cancelled. Does not count as an attempt.
struct ItemRevoked
{ };

/// The item was certainly not sent. Does not count as an attempt.
struct ItemNotRun
{ };

/// The item was sent, but it is unknown whether it took effect.
struct ItemOutcomeUnknown
{
    std::string message;
};

/// Outcome of one attempt to run an item.
using ItemOutcome = std::variant<ItemAnswer, ItemRetryable, ItemFailed, ItemRevoked, ItemNotRun,
                                 ItemOutcomeUnknown>;

} // namespace pistachiofall
