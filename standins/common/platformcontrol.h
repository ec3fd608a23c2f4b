#pragma once

#include "common/apianswer.h"
#include "common/httpexchange.h"
#include "common/platformstate.h"

namespace pistachiofall::standins {

/// Answers a call of the stand-in's control API, which platformserver.h describes.
ApiAnswer controlPlatform(PlatformState &state, const HttpExchange &exchange);

} // namespace pistachiofall::standins
