#pragma once

#include "http/httpheaders.h"

namespace pistachiofall {

/// The status and header fields of an endpoint's answer.
struct AnswerHead
{
    unsigned status = 0;
    HttpHeaders headers;
};

/// Whether the body of the answer is a stream of server-sent events.
inline bool isEventStream(const AnswerHead &head)
{
    return head.headers.get("Content-Type").starts_with("text/event-stream");
}

} // namespace pistachiofall
