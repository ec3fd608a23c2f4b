#pragma once

#include "coord/coordtimes.h"

#include <chrono>
#include <optional>
#include <variant>

namespace pistachiofall {

/// The tokens are taken and may be used from the due time on. The due time is in whole
/// microseconds, so it may be up to one microsecond before the time of the request.
struct TokensGranted
{
    SteadyTime due;
};

/// No tokens were taken.
struct TokensRefused
{
    /// The time after which the same request could be granted if no other arrives before it; empty
    /// if the current limit can never grant it.
    std::optional<std::chrono::microseconds> retryAfter;
};

/// This instance does not grant the tokens of the organisation: another one does, or currently
/// none.
struct NotHolder
{ };

using BucketAnswer = std::variant<TokensGranted, TokensRefused>;
using LimitAnswer = std::variant<TokensGranted, TokensRefused, NotHolder>;

} // namespace pistachiofall
