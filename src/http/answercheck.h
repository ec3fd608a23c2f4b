#pragma once

#include "base/result.h"
#include "http/answerhead.h"

#include <string_view>

namespace pistachiofall::detail {

/// Whether a line of the head begins with a blank, as the obsolete continuation of the field before
/// it does. The text begins where a line does and may go on behind the head.
bool hasContinuedLine(std::string_view text);

/// ProtocolError for a status outside 100 to 599.
Result<Done> checkStatus(unsigned status);

/// ProtocolError for the head of a final answer whose body a reader can not take for what the
/// sender has: one with a transfer coding other than "chunked", or one in a content coding, which
/// no request of this system asks for.
Result<Done> checkCodings(const HttpHeaders &headers, bool isHttp11);

} // namespace pistachiofall::detail
