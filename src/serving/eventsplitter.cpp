#include "serving/eventsplitter.h"

#include <algorithm>
#include <charconv>

namespace pistachiofall {

namespace {

constexpr std::size_t MaxEventBytes = std::size_t{1} << 20U;

// Returns the end of the first event, including its blank line, or npos if it is incomplete.
std::size_t endOfEvent(std::string_view text)
{
    const auto lfEnd = text.find("\n\n");
    const auto crlfEnd = text.find("\r\n\r\n");
    if (lfEnd == std::string_view::npos && crlfEnd == std::string_view::npos)
        return std::string_view::npos;
    if (crlfEnd < lfEnd)
        return crlfEnd + 4;
    return lfEnd + 2;
}

std::string_view fieldValue(std::string_view line, std::size_t nameSize)
{
    line.remove_prefix(nameSize);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

void parseLine(StreamEvent &event, std::string_view line)
{
    if (line.starts_with("id:")) {
        const std::string_view text = fieldValue(line, 3);
        std::uint64_t id = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id);
        if (error == std::errc{} && end == text.data() + text.size())
            event.id = id;
    } else if (line.starts_with("data:")) {
        if (event.hasData)
            event.data += '\n';
        event.data += fieldValue(line, 5);
        event.hasData = true;
    }
}

StreamEvent parseEvent(std::string_view bytes)
{
    StreamEvent event;
    event.bytes = bytes;
    std::string_view rest = bytes;
    while (!rest.empty()) {
        const auto end = std::min(rest.find('\n'), rest.size());
        std::string_view line = rest.substr(0, end);
        rest.remove_prefix(std::min(rest.size(), end + 1));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        parseLine(event, line);
    }
    return event;
}

} // namespace

bool EventSplitter::feed(std::string_view bytes,
                         const std::function<void(const StreamEvent &)> &onEvent)
{
    m_buffer += bytes;
    std::size_t begin = 0;
    for (;;) {
        const std::string_view rest = std::string_view(m_buffer).substr(begin);
        const auto end = endOfEvent(rest);
        if (end == std::string_view::npos)
            break;
        onEvent(parseEvent(rest.substr(0, end)));
        begin += end;
    }
    m_buffer.erase(0, begin);
    return m_buffer.size() <= MaxEventBytes;
}

} // namespace pistachiofall
