#include "http/chatrequest.h"

#include "base/stablehash.h"

#include <algorithm>

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>

namespace pistachiofall {

namespace json = boost::json;

namespace {

constexpr std::size_t PrefixBytes = 512;
constexpr std::size_t InstructionBytes = 16'384;
constexpr std::size_t BytesPerToken = 4;

std::string_view viewOf(const json::string &text)
{
    return {text.data(), text.size()};
}

// Collects the texts of the messages: their size and the first bytes.
struct PromptReader
{
    void add(std::string_view text)
    {
        bytes += text.size();
        addToPrefix(text);
    }

    void addToPrefix(std::string_view text)
    {
        prefix += text.substr(0, PrefixBytes - std::min(PrefixBytes, prefix.size()));
        if (!hasUserMessage)
            leading += text.substr(0, leadingLimit - std::min(leadingLimit, leading.size()));
    }

    void addContent(const json::value &content)
    {
        if (content.is_string())
            add(viewOf(content.as_string()));
        if (!content.is_array())
            return;
        for (const json::value &part : content.as_array()) {
            const auto *object = part.if_object();
            const auto *text = object != nullptr ? object->if_contains("text") : nullptr;
            if (text != nullptr && text->is_string())
                add(viewOf(text->as_string()));
        }
    }

    void addMessage(const json::value &message)
    {
        const auto *object = message.if_object();
        if (object == nullptr)
            return;
        const auto *role = object->if_contains("role");
        const std::string_view name =
                role != nullptr && role->is_string() ? viewOf(role->as_string()) : "";
        const bool isUser = name == "user";
        if (isUser && !hasUserMessage)
            leadingLimit = leading.size() + PrefixBytes;
        addToPrefix(name);
        // Texts can not hold these bytes, so a role is not mistaken for the end of a text.
        addToPrefix("\xff");
        if (const auto *content = object->if_contains("content"))
            addContent(*content);
        addToPrefix("\xfe");
        hasUserMessage = hasUserMessage || isUser;
    }

    std::size_t bytes = 0;
    std::string prefix;
    std::string leading;
    std::size_t leadingLimit = InstructionBytes;
    bool hasUserMessage = false;
};

Error invalid(std::string message)
{
    return {ErrorCode::InvalidArgument, std::move(message)};
}

} // namespace

Result<ChatRequest> parseChatRequest(std::string_view body)
{
    json::monotonic_resource memory;
    boost::system::error_code error;
    const auto value = json::parse({body.data(), body.size()}, error, &memory);
    if (error)
        return invalid("the body is not JSON: " + error.message());
    const auto *request = value.if_object();
    if (request == nullptr)
        return invalid("the body is not a JSON object");
    const auto *model = request->if_contains("model");
    if (model == nullptr || !model->is_string() || model->as_string().empty())
        return invalid("the body has no \"model\" with the name of a model");
    ChatRequest result;
    result.model = viewOf(model->as_string());
    const auto *stream = request->if_contains("stream");
    if (stream != nullptr && !stream->is_null()) {
        if (!stream->is_bool())
            return invalid("\"stream\" is neither true nor false");
        result.isStream = stream->as_bool();
    }
    PromptReader prompt;
    const auto *messages = request->if_contains("messages");
    if (messages != nullptr && messages->is_array()) {
        for (const json::value &message : messages->as_array())
            prompt.addMessage(message);
    }
    result.promptBytes = prompt.bytes;
    result.approximatePromptTokens = (prompt.bytes + BytesPerToken - 1) / BytesPerToken;
    result.prefixHash = stableHash(prompt.prefix);
    result.conversationHash = stableHash(prompt.leading);
    return result;
}

} // namespace pistachiofall
