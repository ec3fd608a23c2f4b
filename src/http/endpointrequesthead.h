#pragma once

#include "base/result.h"
#include "base/socketaddress.h"
#include "http/endpointrequest.h"

#include <string>

namespace pistachiofall::detail {

/// Formats the head of a request up to and including the empty line, with only the headers and
/// parameters that endpoints may see. InvalidArgument when the method or the target has characters
/// that would end its line.
Result<std::string> formatRequestHead(const EndpointRequest &request, const SocketAddress &address,
                                      bool keepsAlive);

} // namespace pistachiofall::detail
