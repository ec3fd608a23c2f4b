#include "common/engineanswer.h"

#include "base/stablehash.h"

#include <ctime>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pistachiofall::standins {

namespace json = boost::json;

namespace {

json::object answerObject(const CompletionRequest &request, const char *kind, json::object choice)
{
    choice["index"] = 0;
    json::object answer{{"id", "chatcmpl-" + std::to_string(stableHash(request.prompt))},
                        {"object", kind},
                        {"created", static_cast<std::int64_t>(std::time(nullptr))},
                        {"model", request.model},
                        {"choices", json::array{std::move(choice)}}};
    if (!request.version.empty())
        answer["system_fingerprint"] = request.version;
    return answer;
}

const char *finishReason(const CompletionRequest &request)
{
    return request.hasMaxTokens ? "length" : "stop";
}

std::string event(const CompletionRequest &request, json::object choice)
{
    return "data: "
            + json::serialize(answerObject(request, "chat.completion.chunk", std::move(choice)))
            + "\n\n";
}

} // namespace

std::string wholeAnswer(const CompletionRequest &request, const std::string &text)
{
    const std::size_t promptTokens = request.prompt.size() / 4 + 1;
    json::object answer = answerObject(request, "chat.completion",
                                       {{"message", {{"role", "assistant"}, {"content", text}}},
                                        {"finish_reason", finishReason(request)}});
    answer["usage"] = {{"prompt_tokens", promptTokens},
                       {"completion_tokens", request.tokens},
                       {"total_tokens", promptTokens + request.tokens}};
    return json::serialize(answer);
}

std::string tokenEvent(const CompletionRequest &request, const std::string &token, bool isFirst)
{
    json::object delta{{"content", token}};
    if (isFirst)
        delta["role"] = "assistant";
    return event(request, {{"delta", std::move(delta)}, {"finish_reason", nullptr}});
}

std::string finishEvent(const CompletionRequest &request)
{
    return event(request, {{"delta", json::object{}}, {"finish_reason", finishReason(request)}});
}

std::string errorText(std::string_view message)
{
    return json::serialize(
            json::object{{"error", {{"message", json::string(message.data(), message.size())}}}});
}

} // namespace pistachiofall::standins
