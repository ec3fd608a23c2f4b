#include "batch/progress.h"

namespace pistachiofall {

ResultCounts Progress::counts() const
{
    ResultCounts counts;
    for (const ResultPart &part : parts) {
        counts.done += static_cast<std::uint32_t>(part.items.size());
        counts.failed += part.failed;
    }
    for (const auto &[item, result] : results) {
        ++counts.done;
        counts.failed += result->isFailed() ? 1 : 0;
    }
    return counts;
}

} // namespace pistachiofall
