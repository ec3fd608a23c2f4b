#include "http/erroranswer.h"

#include <algorithm>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall {

std::string_view toString(RunState run)
{
    return run == RunState::NotRun ? "not_run" : "unknown";
}

bool promisesNotRun(unsigned status)
{
    constexpr unsigned StatusTimeout = 408;
    constexpr unsigned StatusMisdirected = 421;
    constexpr unsigned StatusTooManyRequests = 429;
    constexpr unsigned StatusUnavailable = 503;
    return status == StatusTimeout || status == StatusMisdirected || status == StatusTooManyRequests
            || status == StatusUnavailable;
}

namespace {

unsigned statusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return 400;
    case ErrorCode::Unauthenticated:
        return 401;
    case ErrorCode::PermissionDenied:
        return 403;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
    case ErrorCode::AlreadyExists:
        return 409;
    case ErrorCode::TooLarge:
        return 413;
    case ErrorCode::RateLimited:
        return 429;
    case ErrorCode::OutcomeUnknown:
    case ErrorCode::ProtocolError:
        return 502;
    case ErrorCode::Unavailable:
    case ErrorCode::Isolated:
    case ErrorCode::Overloaded:
    case ErrorCode::Cancelled:
        return 503;
    case ErrorCode::TimedOut:
        return 504;
    case ErrorCode::Internal:
        return 500;
    }
    return 500;
}

} // namespace

unsigned httpStatus(ErrorCode code, RunState run)
{
    constexpr unsigned StatusBadGateway = 502;
    const unsigned status = statusOf(code);
    return run == RunState::Unknown && promisesNotRun(status) ? StatusBadGateway : status;
}

ErrorAnswer makeErrorAnswer(const Error &error, RunState run,
                            std::optional<std::chrono::milliseconds> retryAfter)
{
    const std::string_view code = toString(error.code);
    const std::string_view state = toString(run);
    const boost::json::object body{
            {"error",
             {{"code", boost::json::string_view(code.data(), code.size())},
              {"message", error.message},
              {"run", boost::json::string_view(state.data(), state.size())}}}};
    ErrorAnswer answer;
    answer.status = httpStatus(error.code, run);
    answer.headers.add("Content-Type", "application/json");
    if (answer.status == 401)
        answer.headers.add("WWW-Authenticate", "Bearer");
    if (retryAfter || answer.status == 429 || answer.status == 503) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(
                retryAfter.value_or(std::chrono::seconds{1}));
        answer.headers.add("Retry-After",
                           std::to_string(std::max<std::int64_t>(1, seconds.count())));
    }
    answer.body = boost::json::serialize(body);
    return answer;
}

ErrorAnswer makeBodyErrorAnswer(const Error &error)
{
    ErrorAnswer answer = makeErrorAnswer(error, RunState::NotRun);
    if (error.code == ErrorCode::TimedOut)
        answer.status = 408;
    return answer;
}

} // namespace pistachiofall
