#pragma once

#include "base/result.h"

namespace pistachiofall::detail {

/// ProtocolError for a status outside 100 to 599.
Result<Done> checkStatus(unsigned status);

} // namespace pistachiofall::detail
