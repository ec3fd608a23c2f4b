#include "http/erroranswer.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;

TEST_GROUP(ErrorAnswer){};

TEST(ErrorAnswer, HasCodeMessageAndRunState)
{
    const Error error{ErrorCode::NotFound, "no model 'a\"b'"};
    const ErrorAnswer answer = makeErrorAnswer(error, RunState::NotRun);
    CHECK_EQUAL(404, answer.status);
    STRCMP_EQUAL("{\"error\":{\"code\":\"not_found\",\"message\":\"no model 'a\\\"b'\","
                 "\"run\":\"not_run\"}}",
                 answer.body.c_str());
    CHECK_FALSE(answer.headers.contains("Retry-After"));
}

// Guards against callers that come back at once because the time was rounded to 0.
TEST(ErrorAnswer, RetryAfterIsRoundedUp)
{
    const Error error{ErrorCode::RateLimited, "rate"};
    const auto retryAfter = [&error](std::optional<std::chrono::milliseconds> time) {
        return std::string(
                makeErrorAnswer(error, RunState::NotRun, time).headers.get("Retry-After"));
    };
    STRCMP_EQUAL("1", retryAfter(std::nullopt).c_str());
    STRCMP_EQUAL("1", retryAfter(std::chrono::milliseconds{0}).c_str());
    STRCMP_EQUAL("3", retryAfter(std::chrono::milliseconds{2001}).c_str());
}

// Guards against a status that promises that the request has not run, where that is not certain.
TEST(ErrorAnswer, PromisesOnlyWhatIsCertain)
{
    for (const ErrorCode code : {ErrorCode::Unavailable, ErrorCode::Overloaded,
                                 ErrorCode::RateLimited, ErrorCode::Cancelled}) {
        const Error error{code, "reason"};
        CHECK(promisesNotRun(makeErrorAnswer(error, RunState::NotRun).status));
        const ErrorAnswer unknown = makeErrorAnswer(error, RunState::Unknown);
        CHECK_EQUAL(502, unknown.status);
        CHECK_FALSE(unknown.headers.contains("Retry-After"));
    }
    CHECK_EQUAL(504, makeErrorAnswer({ErrorCode::TimedOut, {}}, RunState::Unknown).status);
}
