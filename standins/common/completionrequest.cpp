#include "common/completionrequest.h"

#include "base/stablehash.h"

#include <algorithm>
#include <array>

#include <boost/json/parse.hpp>

namespace pistachiofall::standins {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxTokens = 100'000;
constexpr std::array<const char *, 16> Words{
        "north ", "river ", "steel ", "seven ", "paper ", "early ", "green ", "stone ",
        "press ", "quiet ", "lamp ",  "order ", "tide ",  "wheel ", "cedar ", "noon "};

std::string textOf(const json::value &content)
{
    if (content.is_string())
        return {content.as_string().data(), content.as_string().size()};
    std::string text;
    if (!content.is_array())
        return text;
    for (const json::value &part : content.as_array()) {
        const auto *object = part.if_object();
        const auto *partText = object != nullptr ? object->if_contains("text") : nullptr;
        if (partText != nullptr && partText->is_string())
            text += textOf(*partText);
    }
    return text;
}

std::string promptOf(const json::array &messages)
{
    std::string prompt;
    for (const json::value &message : messages) {
        const auto *object = message.if_object();
        const auto *content = object != nullptr ? object->if_contains("content") : nullptr;
        if (content != nullptr)
            prompt += textOf(*content) + '\n';
    }
    return prompt;
}

} // namespace

std::optional<CompletionRequest> parseCompletionRequest(std::string_view body)
{
    boost::system::error_code error;
    const auto value = json::parse({body.data(), body.size()}, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto *model = object != nullptr ? object->if_contains("model") : nullptr;
    const auto *messages = object != nullptr ? object->if_contains("messages") : nullptr;
    if (model == nullptr || !model->is_string() || messages == nullptr || !messages->is_array())
        return std::nullopt;
    CompletionRequest request;
    request.model = textOf(*model);
    request.prompt = promptOf(messages->as_array());
    request.tokens = 16 + stableHash(request.prompt) % 32;
    const auto *stream = object->if_contains("stream");
    request.isStream = stream != nullptr && stream->is_bool() && stream->as_bool();
    const auto *maxTokens = object->if_contains("max_tokens");
    if (maxTokens != nullptr && maxTokens->is_int64()) {
        request.hasMaxTokens = true;
        request.tokens = static_cast<std::size_t>(
                std::clamp<std::int64_t>(maxTokens->as_int64(), 1, MaxTokens));
    }
    return request;
}

std::vector<std::string> answerTokens(const CompletionRequest &request)
{
    std::vector<std::string> tokens;
    tokens.reserve(request.tokens);
    std::uint64_t seed = stableHash(request.prompt);
    for (std::size_t index = 0; index < request.tokens; ++index) {
        seed = stableHash({reinterpret_cast<const char *>(&seed), sizeof seed});
        tokens.emplace_back(Words[seed % Words.size()]);
    }
    return tokens;
}

std::string expectedAnswer(std::string_view body)
{
    const auto request = parseCompletionRequest(body);
    std::string text;
    if (request) {
        for (const std::string &token : answerTokens(*request))
            text += token;
    }
    return text;
}

} // namespace pistachiofall::standins
