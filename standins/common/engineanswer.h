#pragma once

#include "common/completionrequest.h"

#include <string>
#include <string_view>

namespace pistachiofall::standins {

/// The JSON of a whole answer with this text.
std::string wholeAnswer(const CompletionRequest &request, const std::string &text);

/// One event of a streamed answer with a token.
std::string tokenEvent(const CompletionRequest &request, const std::string &token, bool isFirst);

/// The event that says why the answer ends, before the end marker.
std::string finishEvent(const CompletionRequest &request);

/// The JSON of an error.
std::string errorText(std::string_view message);

} // namespace pistachiofall::standins
