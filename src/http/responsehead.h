#pragma once

#include "http/httpheaders.h"

#include <cstdint>
#include <optional>
#include <string>

namespace pistachiofall::detail {

/// How the end of an answer's body is marked.
enum class BodyFraming {
    Length,
    Chunked,
    /// The status or the method forbids a body.
    None,
};

/// The status line and header of an answer.
struct ResponseHead
{
    unsigned status = 200;
    HttpHeaders headers;
    BodyFraming framing = BodyFraming::Length;
    /// The length of the body, with BodyFraming::Length.
    std::uint64_t length = 0;
    bool keepsAlive = true;
};

/// Formats the head up to and including the empty line. Fields that describe the connection or the
/// framing are replaced by our own, and fields that could end the header early are left out.
std::string formatResponseHead(const ResponseHead &head);

} // namespace pistachiofall::detail
