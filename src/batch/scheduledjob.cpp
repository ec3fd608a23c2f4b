#include "batch/scheduledjob.h"

#include <algorithm>

namespace pistachiofall::batch::detail {

std::optional<std::uint32_t> ScheduledJob::nextSegment() const
{
    for (std::uint32_t segment = 0; segment < job.segments.size(); ++segment) {
        if (!job.segments[segment].finished && !runs.contains(segment))
            return segment;
    }
    return std::nullopt;
}

bool ScheduledJob::isClaiming() const
{
    return std::ranges::any_of(runs, [](const auto &entry) {
        const auto phase = entry.second->phase();
        return phase == SegmentRun::Phase::Loading || phase == SegmentRun::Phase::Claiming;
    });
}

bool ScheduledJob::areAllSegmentsFinished() const
{
    return std::ranges::all_of(
            job.segments, [](const JobSegment &segment) { return segment.finished.has_value(); });
}

void ScheduledJob::mergeFinished(const Job &other)
{
    const std::size_t count = std::min(job.segments.size(), other.segments.size());
    for (std::size_t segment = 0; segment < count; ++segment) {
        if (!job.segments[segment].finished && other.segments[segment].finished) {
            job.segments[segment].finished = other.segments[segment].finished;
            hasUnstoredCounts = true;
        }
    }
}

} // namespace pistachiofall::batch::detail
