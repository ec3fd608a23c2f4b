#pragma once

#include "base/error.h"
#include "http/httpheaders.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiofall {

/// What is known about a request that was answered with an error.
enum class RunState {
    /// It certainly did not run and never will.
    NotRun,
    /// It may have run, in part or in full.
    Unknown,
};

/// The name in answers: "not_run" or "unknown".
std::string_view toString(RunState run);

/// An answer to a caller that reports an error as JSON.
struct ErrorAnswer
{
    unsigned status = 500;
    HttpHeaders headers;
    std::string body;
};

/// Whether an answer with the status promises that the request has not run and never will: 408,
/// 421, 429 and 503.
bool promisesNotRun(unsigned status);

/// The HTTP status for a kind of failure. One that promises that the request has not run only if
/// that is certain.
unsigned httpStatus(ErrorCode code, RunState run);

/// Builds {"error": {"code", "message", "run"}}. Answers with status 429 or 503 carry Retry-After
/// in whole seconds, at least 1, with 1 as the default; others carry it if it is given.
ErrorAnswer makeErrorAnswer(const Error &error, RunState run,
                            std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);

/// The answer to a request whose body could not be read, for an error of
/// ServerExchange::readBody(). It certainly did not run. A slow caller gets 408, because it is not
/// the system that is late.
ErrorAnswer makeBodyErrorAnswer(const Error &error);

} // namespace pistachiofall
