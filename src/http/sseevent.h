#pragma once

#include <string>

namespace pistachiofall {

/// One server-sent event.
struct SseEvent
{
    /// Empty for the default, "message".
    std::string type;
    /// The data lines, joined by line feeds.
    std::string data;
};

/// Whether the event is "data: [DONE]", which ends a streamed chat completion.
inline bool isEndMarker(const SseEvent &event)
{
    return event.data == "[DONE]";
}

} // namespace pistachiofall
