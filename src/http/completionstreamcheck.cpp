#include "http/completionstreamcheck.h"

#include <boost/json/parse.hpp>

namespace pistachiofall {

namespace {

bool reportsError(const SseEvent &event)
{
    // Most events are text pieces; only the few with this word need parsing.
    if (event.type != "error" && event.data.find("\"error\"") == std::string::npos)
        return false;
    boost::system::error_code error;
    const auto value = boost::json::parse(event.data, error);
    if (error || !value.is_object())
        return event.type == "error";
    const auto *reported = value.as_object().if_contains("error");
    return event.type == "error" || (reported != nullptr && !reported->is_null());
}

} // namespace

void CompletionStreamCheck::feed(std::string_view bytes)
{
    if (m_failure)
        return;
    const Result<Done> fed =
            m_parser.feed(bytes, [this](const SseEvent &event) { takeEvent(event); });
    if (!isOk(fed))
        m_failure = Error{ErrorCode::ProtocolError, errorOf(fed).message};
}

void CompletionStreamCheck::takeEvent(const SseEvent &event)
{
    if (m_hasEndMarker)
        m_failure = Error{ErrorCode::ProtocolError, "the stream goes on after its end marker"};
    else if (isEndMarker(event))
        m_hasEndMarker = true;
    else if (reportsError(event))
        m_failure = Error{ErrorCode::ProtocolError, "the engine reports an error in the stream"};
    else
        ++m_eventCount;
}

Result<Done> CompletionStreamCheck::check() const
{
    if (m_failure)
        return *m_failure;
    if (!m_hasEndMarker || m_parser.hasPartialEvent())
        return Error{ErrorCode::ProtocolError, "the stream ended without its end marker"};
    return Done{};
}

} // namespace pistachiofall
