#pragma once

#include "base/error.h"
#include "store/callkind.h"

#include <string>
#include <string_view>

#include <boost/system/error_code.hpp>

namespace pistachiofall::store::detail {

/// The error of a call whose connection failed or whose time ran out. Nothing was sent:
/// Unavailable. Otherwise a write is TimedOut or OutcomeUnknown, since the store may have carried
/// it out.
Error connectionError(CallKind kind, bool isSent, const boost::system::error_code &cause);

/// The error of a call that was sent and whose answer AnswerReader did not read whole. A write is
/// TimedOut or OutcomeUnknown: a broken answer does not tell whether it was carried out. A read is
/// ProtocolError for an answer that is none, Unavailable for one that was cut, TimedOut or
/// Cancelled.
Error answerReadError(CallKind kind, const Error &cause);

/// The error of a call that the store answered with another status than success. The body is a
/// Status object, whose reason tells apart what shares a number. For a write, only 429 and a 503
/// with reason ServiceUnavailable are taken as "not carried out"; any other 5xx may come after the
/// effect, so it is OutcomeUnknown.
Error answerError(CallKind kind, unsigned status, std::string_view body);

} // namespace pistachiofall::store::detail
