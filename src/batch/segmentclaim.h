#pragma once

#include <cstdint>
#include <string>

namespace pistachiofall {

/// Identifies the instance that runs a segment. A claim with a higher epoch supersedes one with a
/// lower epoch.
struct SegmentClaim
{
    /// Instance and incarnation of the owner; empty after the claim was released.
    std::string owner;
    /// Epoch at which the owner held the shard of the job.
    std::uint64_t epoch = 0;

    bool operator==(const SegmentClaim &) const = default;
};

} // namespace pistachiofall
