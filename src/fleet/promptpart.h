#pragma once

#include <cstdint>
#include <vector>

namespace pistachiofall {

/// Identifies a part of a prompt that several requests may share, by a hash of its name that is the
/// same at all instances.
using PromptPart = std::uint64_t;

/// The parts of a request's prompt that it may share with other requests.
using PromptParts = std::vector<PromptPart>;

} // namespace pistachiofall
