#include "batch/job.h"

namespace pistachiofall {

std::uint64_t Job::itemCount() const
{
    std::uint64_t count = 0;
    for (const JobSegment &segment : segments)
        count += segment.itemCount;
    return count;
}

} // namespace pistachiofall
