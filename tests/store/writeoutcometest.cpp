#include "store/writeoutcome.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(WriteOutcome)
{
    WriteOutcome outcome;

    ErrorCode codeAfter(ErrorCode code)
    {
        outcome.recordFailure({code, "reason"});
        return outcome.failure().code;
    }
};

TEST(WriteOutcome, RefusedAttemptsAreCertain)
{
    CHECK(codeAfter(ErrorCode::Unavailable) == ErrorCode::Unavailable);
    CHECK(codeAfter(ErrorCode::RateLimited) == ErrorCode::Unavailable);
    CHECK(codeAfter(ErrorCode::Conflict) == ErrorCode::Unavailable);
    CHECK_FALSE(outcome.isUnknown());
}

// Guards against a write that is called refused because its last attempt was, though an earlier one
// had no answer.
TEST(WriteOutcome, OneUnknownAttemptMakesTheWholeUnknown)
{
    CHECK(codeAfter(ErrorCode::TimedOut) == ErrorCode::OutcomeUnknown);
    CHECK(codeAfter(ErrorCode::Unavailable) == ErrorCode::OutcomeUnknown);
    STRCMP_EQUAL("reason", outcome.failure().message.c_str());
}

TEST(WriteOutcome, AnEarlierWriterMakesTheWholeUnknown)
{
    outcome.recordEarlierWriter();
    CHECK(codeAfter(ErrorCode::Unavailable) == ErrorCode::OutcomeUnknown);
}

// Guards against a broken answer to a write that is taken for a refusal.
TEST(WriteOutcome, OnlyAnswersThatRefuseAreCertain)
{
    for (const ErrorCode code :
         {ErrorCode::TimedOut, ErrorCode::OutcomeUnknown, ErrorCode::ProtocolError,
          ErrorCode::Cancelled, ErrorCode::TooLarge, ErrorCode::Internal})
        CHECK(mayBeApplied({code, {}}));
}
