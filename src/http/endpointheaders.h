#pragma once

#include "http/httpheaders.h"

#include <string>
#include <string_view>

namespace pistachiofall {

/// The header fields of a caller's request that an endpoint may see: Content-Type, Accept,
/// traceparent and X-Request-Id. All others are left out, above all Authorization and cookies, and
/// so are values that hold a key or can not be sent.
HttpHeaders endpointHeaders(const HttpHeaders &headers);

/// The path and query without the parameters that carry keys: those with a name that is common for
/// it, such as "api_key" or "access_token", and those whose value holds a key of ours.
std::string endpointTarget(std::string_view path, std::string_view query);

/// Whether the text holds something in the form of our keys, "pf_KEYID_SECRET".
bool containsKey(std::string_view text);

} // namespace pistachiofall
