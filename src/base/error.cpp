#include "base/error.h"

namespace pistachiofall {

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::AlreadyExists:
        return "already_exists";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::TimedOut:
        return "timed_out";
    case ErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorCode::Isolated:
        return "isolated";
    case ErrorCode::RateLimited:
        return "rate_limited";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::Unauthenticated:
        return "unauthenticated";
    case ErrorCode::PermissionDenied:
        return "permission_denied";
    case ErrorCode::Cancelled:
        return "cancelled";
    case ErrorCode::ProtocolError:
        return "protocol_error";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace pistachiofall
