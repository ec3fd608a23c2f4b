#pragma once

#include "base/result.h"
#include "http/sseparser.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace pistachiofall {

/// Tells whether the body of a streamed chat completion ended properly.
class CompletionStreamCheck
{
public:
    /// Takes the next bytes of the body.
    void feed(std::string_view bytes);

    /// Whether the bytes so far are a complete stream: the last event is the end marker, and none
    /// reports an error. ProtocolError with the reason otherwise. Engines that fail within a stream
    /// send an error event and then the end marker.
    Result<Done> check() const;

    /// How many events other than the end marker have come.
    std::uint64_t eventCount() const { return m_eventCount; }

private:
    void takeEvent(const SseEvent &event);

    SseParser m_parser;
    std::optional<Error> m_failure;
    std::uint64_t m_eventCount = 0;
    bool m_hasEndMarker = false;
};

} // namespace pistachiofall
