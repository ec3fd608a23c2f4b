#pragma once

#include "http/httpheaders.h"

#include <optional>
#include <string>
#include <string_view>

namespace pistachiofall::detail {

/// The request line and the header of one request.
struct RequestHead
{
    std::string method;
    /// Without the query, not decoded.
    std::string path;
    /// What follows the question mark, not decoded.
    std::string query;
    HttpHeaders headers;
    bool isHttp11 = true;
    /// Whether the caller wants to send another request on the connection.
    bool keepsAlive = true;
    /// Whether the caller waits for "100 Continue" before it sends the body.
    bool expectsContinue = false;
};

/// The path and query of a request target in origin form ("/a?b") or absolute form
/// ("http://host/a?b").
struct RequestTarget
{
    std::string_view path;
    std::string_view query;
};

/// Splits a target; nothing for a target in another form.
std::optional<RequestTarget> splitTarget(std::string_view target);

} // namespace pistachiofall::detail
