#pragma once

#include "coord/coordtimes.h"
#include "coord/ratelimit.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace pistachiofall::tests {

/// The grants of one organisation by all holders, and the limits that were in force. A version of
/// the limit is in force until the next one is written, and longer if a holder that has not learned
/// of the next one applies it or has granted under it.
class GrantRecord
{
public:
    void addVersion(const std::optional<RateLimit> &limit, SteadyTime now)
    {
        if (!m_versions.empty())
            extendUntil(m_versions.size() - 1, now);
        m_versions.push_back({limit, now, now});
    }

    std::size_t versionCount() const { return m_versions.size(); }

    const std::optional<RateLimit> &limit(std::size_t version) const
    {
        return m_versions[version].limit;
    }

    /// Records that a holder applied the version at the time, so that it is in force until then.
    void extendUntil(std::size_t version, SteadyTime time)
    {
        m_versions[version].until = std::max(m_versions[version].until, time);
    }

    void addGrant(std::size_t version, SteadyTime due, std::int64_t tokens)
    {
        m_grants.push_back({due, tokens});
        extendUntil(version, due);
    }

    std::size_t grantCount() const { return m_grants.size(); }

    /// Returns whether the grants of every interval between two due times are at most rate x time +
    /// burst, without rounding, with the largest rate and burst in force in the interval.
    bool isWithinBound()
    {
        std::ranges::sort(m_grants, {}, &Grant::due);
        for (std::size_t first = 0; first < m_grants.size(); ++first) {
            if (!isWithinBoundFrom(first))
                return false;
        }
        return true;
    }

private:
    struct Grant
    {
        SteadyTime due;
        std::int64_t tokens;
    };

    struct Version
    {
        std::optional<RateLimit> limit;
        SteadyTime from;
        SteadyTime until;
    };

    bool isWithinBoundFrom(std::size_t first) const
    {
        const SteadyTime start = m_grants[first].due;
        std::int64_t tokens = 0;
        RateLimit largest;
        auto version = m_versions.begin();
        for (std::size_t last = first; last < m_grants.size(); ++last) {
            const SteadyTime end = m_grants[last].due;
            for (; version != m_versions.end() && version->from <= end; ++version) {
                if (version->until >= start && version->limit)
                    largest = largestOf(largest, *version->limit);
            }
            tokens += m_grants[last].tokens;
            if (tokens * __int128{1'000'000'000'000} > allowed(largest, end - start))
                return false;
        }
        return true;
    }

    static RateLimit largestOf(const RateLimit &first, const RateLimit &second)
    {
        return {std::max(first.milliTokensPerSecond, second.milliTokensPerSecond),
                std::max(first.burst, second.burst)};
    }

    static __int128 allowed(const RateLimit &limit, std::chrono::nanoseconds time)
    {
        return static_cast<__int128>(limit.milliTokensPerSecond) * time.count()
                + static_cast<__int128>(limit.burst) * 1'000'000'000'000;
    }

    std::vector<Version> m_versions;
    std::vector<Grant> m_grants;
};

} // namespace pistachiofall::tests
