#include "store/callerror.h"

#include "store/jsonfields.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>

namespace pistachiofall::store::detail {

namespace {

// The message of an answer that is no Status object, such as a page of a load balancer, is cut.
constexpr std::size_t MaxBodyInMessage = 200;

ErrorCode connectionErrorCode(CallKind kind, bool isSent, const boost::system::error_code &cause)
{
    if (cause == boost::asio::error::operation_aborted && (!isSent || !isWrite(kind)))
        return ErrorCode::Cancelled;
    if (!isSent)
        return ErrorCode::Unavailable;
    if (cause == boost::beast::error::timeout)
        return ErrorCode::TimedOut;
    return isWrite(kind) ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
}

ErrorCode answerReadErrorCode(CallKind kind, ErrorCode cause)
{
    if (cause == ErrorCode::TimedOut)
        return ErrorCode::TimedOut;
    if (isWrite(kind))
        return ErrorCode::OutcomeUnknown;
    if (cause == ErrorCode::Cancelled)
        return ErrorCode::Cancelled;
    return cause == ErrorCode::OutcomeUnknown ? ErrorCode::Unavailable : ErrorCode::ProtocolError;
}

ErrorCode clientErrorCode(CallKind kind, unsigned status, const std::string &reason)
{
    switch (status) {
    case 401:
        return ErrorCode::Unauthenticated;
    case 403:
        return ErrorCode::PermissionDenied;
    case 404:
        return ErrorCode::NotFound;
    case 408:
        return isWrite(kind) ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
    case 409:
        return kind == CallKind::Create && reason != "Conflict" ? ErrorCode::AlreadyExists
                                                                : ErrorCode::Conflict;
    case 429:
        return ErrorCode::Unavailable;
    default:
        return ErrorCode::InvalidArgument;
    }
}

ErrorCode answerErrorCode(CallKind kind, unsigned status, const std::string &reason)
{
    if (status >= 400 && status < 500)
        return clientErrorCode(kind, status, reason);
    if (status >= 500 && status < 600) {
        const bool isRefused = status == 503 && reason == "ServiceUnavailable";
        return isWrite(kind) && !isRefused ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
    }
    return isWrite(kind) ? ErrorCode::OutcomeUnknown : ErrorCode::ProtocolError;
}

} // namespace

Error connectionError(CallKind kind, bool isSent, const boost::system::error_code &cause)
{
    return {connectionErrorCode(kind, isSent, cause),
            "store call '" + std::string(toString(kind)) + "' failed "
                    + (isSent ? "after it was sent: " : "before it was sent: ") + cause.message()};
}

Error answerReadError(CallKind kind, const Error &cause)
{
    return {answerReadErrorCode(kind, cause.code),
            "store call '" + std::string(toString(kind)) + "' got no answer: " + cause.message};
}

Error answerError(CallKind kind, unsigned status, std::string_view body)
{
    std::string reason;
    std::string message(body.substr(0, MaxBodyInMessage));
    const auto parsed = parseJson(body);
    if (isOk(parsed)) {
        reason = textField(valueOf(parsed), {"reason"});
        message = textField(valueOf(parsed), {"message"});
    }
    return {answerErrorCode(kind, status, reason),
            "the store answered '" + std::string(toString(kind)) + "' with "
                    + std::to_string(status) + " " + reason + ": " + message};
}

} // namespace pistachiofall::store::detail
