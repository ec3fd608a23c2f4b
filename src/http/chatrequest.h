#pragma once

#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiofall {

/// What routing needs to know of a chat completion request.
struct ChatRequest
{
    std::string model;
    bool isStream = false;
    /// Bytes of text in all messages.
    std::size_t promptBytes = 0;
    /// About 4 bytes of text make a token.
    std::size_t approximatePromptTokens = 0;
    /// The stable hash of the roles and texts of the prompt up to its first 512 bytes. Requests
    /// that share a longer beginning have the same one, so they can go where it is cached.
    std::uint64_t prefixHash = 0;
    /// The stable hash of the messages before the first one of a user, up to 16 KB, and of the
    /// first 512 bytes of that one. It stays the same through all turns of a conversation, and
    /// differs between conversations that share long instructions.
    std::uint64_t conversationHash = 0;
};

/// Reads the body of a chat completion request. InvalidArgument when it is no JSON object, names no
/// model, or has a "stream" that is not a boolean. Everything else is left to the engine.
Result<ChatRequest> parseChatRequest(std::string_view body);

} // namespace pistachiofall
