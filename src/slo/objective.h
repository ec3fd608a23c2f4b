#pragma once

#include <string_view>

namespace pistachiofall {

/// The objectives that service levels are measured against.
enum class Objective {
    /// Covers requests; those answered completely are good.
    Availability,
    /// Covers streams; those whose first token arrives in time are good.
    FirstToken,
    /// Covers gaps between two consecutive chunks of a stream; those that are short enough are
    /// good.
    TokenGap,
};

/// Returns the value of the metric label "objective".
std::string_view toString(Objective objective);

} // namespace pistachiofall
