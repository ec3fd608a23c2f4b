#include "http/sseparser.h"

#include <utility>

namespace pistachiofall {

SseParser::SseParser(std::size_t maxEventBytes)
    : m_maxEventBytes(maxEventBytes)
{ }

Result<Done> SseParser::feed(std::string_view bytes,
                             const std::function<void(const SseEvent &)> &onEvent)
{
    while (!bytes.empty()) {
        if (std::exchange(m_skipsLineFeed, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            continue;
        }
        const auto end = bytes.find_first_of("\r\n");
        m_line += bytes.substr(0, end);
        if (m_line.size() + m_event.data.size() > m_maxEventBytes) {
            return Error{ErrorCode::TooLarge,
                         "an event is longer than " + std::to_string(m_maxEventBytes) + " bytes"};
        }
        if (end == std::string_view::npos)
            break;
        m_skipsLineFeed = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        endLine(onEvent);
    }
    return Done{};
}

bool SseParser::hasPartialEvent() const
{
    return !m_line.empty() || m_hasData;
}

void SseParser::endLine(const std::function<void(const SseEvent &)> &onEvent)
{
    constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
    std::string_view line = m_line;
    if (std::exchange(m_isFirstLine, false) && line.starts_with(ByteOrderMark))
        line.remove_prefix(ByteOrderMark.size());
    if (line.empty()) {
        if (std::exchange(m_hasData, false))
            onEvent(m_event);
        m_event = {};
    } else {
        const auto colon = line.find(':');
        std::string_view value;
        if (colon != std::string_view::npos)
            value = line.substr(colon + 1);
        if (value.starts_with(' '))
            value.remove_prefix(1);
        takeField(line.substr(0, colon), value);
    }
    m_line.clear();
}

// Comments have an empty name; they and unknown fields are left out, as the format asks.
void SseParser::takeField(std::string_view name, std::string_view value)
{
    if (name == "event")
        m_event.type = value;
    if (name != "data")
        return;
    if (std::exchange(m_hasData, true))
        m_event.data += '\n';
    m_event.data += value;
}

} // namespace pistachiofall
