#pragma once

#include "batch/jobid.h"

#include <cstdint>
#include <tuple>

namespace pistachiofall {

/// Identifies a segment of a job.
struct SegmentKey
{
    JobId job;
    std::uint32_t segment = 0;

    bool operator==(const SegmentKey &) const = default;
    bool operator<(const SegmentKey &other) const
    {
        return std::tie(job, segment) < std::tie(other.job, other.segment);
    }
};

/// Identifies an item of a segment.
struct ItemKey
{
    SegmentKey segment;
    std::uint32_t item = 0;

    bool operator==(const ItemKey &) const = default;
    bool operator<(const ItemKey &other) const
    {
        return std::tie(segment, item) < std::tie(other.segment, other.item);
    }
};

} // namespace pistachiofall
