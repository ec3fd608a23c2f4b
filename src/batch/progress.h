#pragma once

#include "batch/itemresult.h"
#include "batch/job.h"
#include "batch/resultpart.h"
#include "batch/segmentclaim.h"

#include <cstdint>
#include <set>
#include <vector>

namespace pistachiofall {

/// Stored state of a segment that has been claimed at least once.
struct Progress
{
    SegmentClaim claim;
    /// Set once all results are final: no result will be added or changed.
    bool isClosed = false;
    std::uint32_t itemCount = 0;
    /// Non-idempotent items that may have been started and have no result.
    std::set<std::uint32_t> started;
    std::vector<ResultPart> parts;
    /// Results that are not stored in a part.
    ResultMap results;

    ResultCounts counts() const;
};

} // namespace pistachiofall
