#include "store/writeoutcome.h"

namespace pistachiofall {

bool mayBeApplied(const Error &error)
{
    switch (error.code) {
    case ErrorCode::InvalidArgument:
    case ErrorCode::NotFound:
    case ErrorCode::Conflict:
    case ErrorCode::AlreadyExists:
    case ErrorCode::Unavailable:
    case ErrorCode::Isolated:
    case ErrorCode::RateLimited:
    case ErrorCode::Overloaded:
    case ErrorCode::Unauthenticated:
    case ErrorCode::PermissionDenied:
        return false;
    case ErrorCode::TooLarge:
    case ErrorCode::TimedOut:
    case ErrorCode::OutcomeUnknown:
    case ErrorCode::Cancelled:
    case ErrorCode::ProtocolError:
    case ErrorCode::Internal:
        return true;
    }
    return true;
}

void WriteOutcome::recordFailure(const Error &error)
{
    m_isUnknown = m_isUnknown || mayBeApplied(error);
    m_last = error;
}

Error WriteOutcome::failure() const
{
    return {m_isUnknown ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable, m_last.message};
}

} // namespace pistachiofall
