#include "store/callerror.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace pistachiofall::store::detail;

TEST_GROUP(CallError){void checkAnswer(ErrorCode expected, CallKind kind, unsigned status,
                                       const char *reason = ""){
        const std::string body = std::string(R"({"reason":")") + reason + R"(","message":"m"})";
const Error error = answerError(kind, status, body);
LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(error.code));
STRCMP_CONTAINS(std::to_string(status).c_str(), error.message.c_str());
}

void checkConnection(ErrorCode expected, CallKind kind, bool isSent,
                     const boost::system::error_code &cause)
{
    LONGS_EQUAL(static_cast<int>(expected),
                static_cast<int>(connectionError(kind, isSent, cause).code));
}

void checkRead(ErrorCode expected, CallKind kind, ErrorCode cause)
{
    LONGS_EQUAL(static_cast<int>(expected),
                static_cast<int>(answerReadError(kind, Error{cause, "m"}).code));
}
}
;

// Guards against "Unavailable" for a write that may have taken effect.
TEST(CallError, WriteThatWasSentIsNeverUnavailable)
{
    const auto reset = boost::asio::error::connection_reset;
    const auto timeout = boost::beast::error::timeout;
    const auto aborted = boost::asio::error::operation_aborted;
    for (const CallKind kind : {CallKind::Create, CallKind::Update, CallKind::Remove}) {
        checkConnection(ErrorCode::OutcomeUnknown, kind, true, reset);
        checkRead(ErrorCode::OutcomeUnknown, kind, ErrorCode::OutcomeUnknown);
        checkRead(ErrorCode::OutcomeUnknown, kind, ErrorCode::ProtocolError);
        checkRead(ErrorCode::OutcomeUnknown, kind, ErrorCode::TooLarge);
        checkRead(ErrorCode::OutcomeUnknown, kind, ErrorCode::Cancelled);
        checkRead(ErrorCode::TimedOut, kind, ErrorCode::TimedOut);
        checkConnection(ErrorCode::OutcomeUnknown, kind, true, aborted);
        checkConnection(ErrorCode::TimedOut, kind, true, timeout);
        checkConnection(ErrorCode::Unavailable, kind, false, reset);
        checkConnection(ErrorCode::Unavailable, kind, false, timeout);
        checkConnection(ErrorCode::Cancelled, kind, false, aborted);
        for (const unsigned status : {200U, 302U, 408U, 500U, 502U, 503U, 504U})
            checkAnswer(ErrorCode::OutcomeUnknown, kind, status);
        checkAnswer(ErrorCode::Unavailable, kind, 503, "ServiceUnavailable");
        checkAnswer(ErrorCode::Unavailable, kind, 429, "TooManyRequests");
    }
}

TEST(CallError, ReadsMayBeRepeated)
{
    checkConnection(ErrorCode::Unavailable, CallKind::Get, true,
                    boost::asio::error::connection_reset);
    checkRead(ErrorCode::Unavailable, CallKind::Get, ErrorCode::OutcomeUnknown);
    checkRead(ErrorCode::ProtocolError, CallKind::Get, ErrorCode::ProtocolError);
    checkRead(ErrorCode::ProtocolError, CallKind::Get, ErrorCode::TooLarge);
    checkRead(ErrorCode::TimedOut, CallKind::Get, ErrorCode::TimedOut);
    checkRead(ErrorCode::Cancelled, CallKind::Get, ErrorCode::Cancelled);
    checkConnection(ErrorCode::TimedOut, CallKind::Get, true, boost::beast::error::timeout);
    checkConnection(ErrorCode::Cancelled, CallKind::Get, true,
                    boost::asio::error::operation_aborted);
    checkAnswer(ErrorCode::Unavailable, CallKind::List, 500, "InternalError");
    checkAnswer(ErrorCode::ProtocolError, CallKind::Get, 302);
}

TEST(CallError, ReasonsTellApartTheSameStatus)
{
    checkAnswer(ErrorCode::AlreadyExists, CallKind::Create, 409, "AlreadyExists");
    checkAnswer(ErrorCode::Conflict, CallKind::Create, 409, "Conflict");
    checkAnswer(ErrorCode::Conflict, CallKind::Update, 409, "Conflict");
    checkAnswer(ErrorCode::NotFound, CallKind::Update, 404);
    checkAnswer(ErrorCode::PermissionDenied, CallKind::Get, 403);
    checkAnswer(ErrorCode::Unauthenticated, CallKind::Get, 401);
    checkAnswer(ErrorCode::InvalidArgument, CallKind::Create, 413);
    checkAnswer(ErrorCode::InvalidArgument, CallKind::Create, 422, "Invalid");
}

// A load balancer answers with pages that are no JSON.
TEST(CallError, MessageOfAnotherBodyIsCut)
{
    const Error error = answerError(CallKind::Get, 502, std::string(10'000, 'x'));
    CHECK(error.message.size() < 500);
}
