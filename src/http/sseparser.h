#pragma once

#include "base/result.h"
#include "http/sseevent.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace pistachiofall {

/// Parses server-sent events from pieces that may be split at any byte.
class SseParser
{
public:
    /// An event that is longer is an error, so that a stream without line ends takes no memory.
    explicit SseParser(std::size_t maxEventBytes = std::size_t{1} << 20U);

    /// Takes the next bytes and calls back for each event that they complete. TooLarge when an
    /// event is too long; the parser must not be used after it.
    Result<Done> feed(std::string_view bytes, const std::function<void(const SseEvent &)> &onEvent);

    /// Whether bytes have come that belong to an event whose end has not.
    bool hasPartialEvent() const;

private:
    void endLine(const std::function<void(const SseEvent &)> &onEvent);
    void takeField(std::string_view name, std::string_view value);

    std::size_t m_maxEventBytes;
    std::string m_line;
    SseEvent m_event;
    bool m_hasData = false;
    bool m_isFirstLine = true;
    // The last byte was a carriage return; a line feed right after it belongs to it.
    bool m_skipsLineFeed = false;
};

} // namespace pistachiofall
