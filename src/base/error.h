#pragma once

#include <string>
#include <string_view>

namespace pistachiofall {

/// The kinds of failure that callers of a function tell apart.
enum class ErrorCode {
    InvalidArgument,
    /// A body or a header is longer than the receiver accepts.
    TooLarge,
    NotFound,
    /// A conditional update met another version than the one it was based on.
    Conflict,
    AlreadyExists,
    /// The operation did not take effect and may be tried again.
    Unavailable,
    /// The time allowed ran out; the operation may or may not have taken effect.
    TimedOut,
    /// The connection broke after the request was sent; it may or may not have taken effect.
    OutcomeUnknown,
    /// This instance has lost contact with the store and its peers.
    Isolated,
    RateLimited,
    Overloaded,
    Unauthenticated,
    PermissionDenied,
    Cancelled,
    /// The other side broke the protocol.
    ProtocolError,
    Internal,
};

/// The name of a code as it appears in logs, metrics and error answers, such as "not_found".
std::string_view toString(ErrorCode code);

/// A failure as a value. The message names the bad value and, where there is one, what is accepted.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

} // namespace pistachiofall
