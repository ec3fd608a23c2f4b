#pragma once

#include "base/error.h"

#include <utility>
#include <variant>

namespace pistachiofall {

/// What is known about the way of a request to the endpoint.
enum class RequestSent {
    /// No byte was handed to a socket, so the request certainly did not run.
    Nothing,
    /// Some bytes were, so it may have run.
    Possibly,
};

/// The part of a call that failed.
enum class CallStage {
    Connect,
    Send,
    /// Waiting for the header or for the first byte of the body.
    FirstByte,
    Body,
};

/// Why a call has no complete answer. The codes are Unavailable (no connection), TimedOut (a
/// deadline passed), OutcomeUnknown (the connection broke), ProtocolError (the answer is malformed
/// or has no marked end), TooLarge and Cancelled.
struct CallFailure
{
    Error error;
    RequestSent sent = RequestSent::Possibly;
    CallStage stage = CallStage::Connect;
    /// A kept connection broke right after the request was sent, before a byte of the answer. Most
    /// likely the endpoint had closed it while it was idle, and has nothing wrong with it. The
    /// request may have run all the same.
    bool isStaleConnection = false;
};

/// Whether the connection broke after the request was sent, as it does when the endpoint ends.
inline bool endsConnection(const CallFailure &failure)
{
    return failure.sent == RequestSent::Possibly
            && (failure.error.code == ErrorCode::OutcomeUnknown
                || failure.error.code == ErrorCode::Unavailable);
}

/// The outcome of a step of a call.
template<typename T>
using CallResult = std::variant<T, CallFailure>;

template<typename T>
bool isOk(const std::variant<T, CallFailure> &result)
{
    return result.index() == 0;
}

/// The value of a successful step. Calling it on a failed one is a broken invariant.
template<typename T>
const T &valueOf(const std::variant<T, CallFailure> &result)
{
    return std::get<0>(result);
}

template<typename T>
T valueOf(std::variant<T, CallFailure> &&result)
{
    return std::get<0>(std::move(result));
}

/// The failure of a failed step. Calling it on a successful one is a broken invariant.
template<typename T>
const CallFailure &failureOf(const std::variant<T, CallFailure> &result)
{
    return std::get<1>(result);
}

} // namespace pistachiofall
