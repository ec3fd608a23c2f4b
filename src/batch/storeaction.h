#pragma once

#include "batch/progress.h"

#include <string>
#include <variant>

namespace pistachiofall {

/// Reads the progress object of the segment.
struct ReadProgress
{ };

/// Creates the progress object.
struct CreateProgress
{
    Progress progress;
};

/// Replaces the progress object if it still has the version.
struct UpdateProgress
{
    Progress progress;
    std::string version;
};

/// A store call requested by a SegmentRun.
using StoreAction = std::variant<ReadProgress, CreateProgress, UpdateProgress>;

} // namespace pistachiofall
