#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiofall {

/// One complete event of a stream.
struct StreamEvent
{
    /// The bytes as they came, the empty line at the end included.
    std::string_view bytes;
    std::optional<std::uint64_t> id;
    /// The data lines, joined by line feeds.
    std::string data;
    bool hasData = false;
};

/// Splits a stream of server-sent events into whole events, so that one that was cut is never
/// passed on. A stream that breaks can then go on after the last id without a gap or a repetition.
class EventSplitter
{
public:
    /// Takes the next bytes and calls back for each event that they complete. False when an event
    /// is longer than a mebibyte.
    bool feed(std::string_view bytes, const std::function<void(const StreamEvent &)> &onEvent);

    /// Whether bytes of an unfinished event are held.
    bool hasPartialEvent() const { return !m_buffer.empty(); }

private:
    std::string m_buffer;
};

} // namespace pistachiofall
