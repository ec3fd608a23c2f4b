#pragma once

#include "base/result.h"
#include "cli/storesession.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pistachiofall {

/// Blocks until every listed instance has at least the rule version, and returns the number of
/// instances. TimedOut with a message that names the instances without it.
Result<std::size_t> waitForVersion(StoreSession &session, std::uint64_t version,
                                   std::chrono::milliseconds timeout);

} // namespace pistachiofall
