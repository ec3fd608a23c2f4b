#include "cli/loadresult.h"

#include <algorithm>
#include <cmath>

namespace pistachiofall {

std::uint64_t requestCount(const LoadResult &result)
{
    std::uint64_t sent = 0;
    for (const auto &[outcome, count] : result.counts)
        sent += count;
    return sent;
}

std::chrono::nanoseconds nearestRankQuantile(std::vector<std::chrono::nanoseconds> values,
                                             double quantile)
{
    if (values.empty())
        return std::chrono::nanoseconds{0};
    const auto rank =
            static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size())));
    const std::size_t index = std::clamp<std::size_t>(rank, 1, values.size()) - 1;
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::ranges::nth_element(values, position);
    return *position;
}

} // namespace pistachiofall
