#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall::standins {

/// What the engine stand-in reads from the body of a chat completion request.
struct CompletionRequest
{
    std::string model;
    /// The texts of all messages, joined by line feeds.
    std::string prompt;
    bool isStream = false;
    /// "max_tokens" if it is given, which the answer then has exactly, else 16 to 47 by the prompt.
    std::size_t tokens = 0;
    bool hasMaxTokens = false;
    /// The version of the model that answers, not read from the body; empty when it has none.
    std::string version;
};

/// Nothing when the body is not a chat completion request.
std::optional<CompletionRequest> parseCompletionRequest(std::string_view body);

/// The tokens of the answer, which depend on nothing but the prompt and their number. A test that
/// knows the request can tell whether it got the whole answer to it.
std::vector<std::string> answerTokens(const CompletionRequest &request);

/// The text of the answer to a request with this body; empty when it is no request.
std::string expectedAnswer(std::string_view body);

} // namespace pistachiofall::standins
