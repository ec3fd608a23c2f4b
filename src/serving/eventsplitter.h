#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiofall {

/// One complete server-sent event.
struct StreamEvent
{
    /// The bytes as received, including the blank line at the end. Valid only during the callback.
    std::string_view bytes;
    std::optional<std::uint64_t> id;
    /// The values of the data fields, joined by line feeds.
    std::string data;
    bool hasData = false;
};

/// Splits a stream of server-sent events into complete events, so that a truncated event is never
/// forwarded. A broken stream can then be resumed after the last event id without gaps or
/// duplicates.
class EventSplitter
{
public:
    /// Appends the next bytes and calls back for each event that they complete. Returns false when
    /// an incomplete event exceeds 1 MiB.
    bool feed(std::string_view bytes, const std::function<void(const StreamEvent &)> &onEvent);

    /// Whether the buffer holds the start of an incomplete event.
    bool hasPartialEvent() const { return !m_buffer.empty(); }
    std::size_t bufferedBytes() const { return m_buffer.size(); }

private:
    std::string m_buffer;
};

} // namespace pistachiofall
