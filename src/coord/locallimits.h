#pragma once

#include "coord/coordtimes.h"
#include "coord/limitanswer.h"
#include "coord/ratelimit.h"
#include "coord/tokenbucket.h"

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_map>

namespace pistachiofall {

/// Limits organisations at one instance without coordination: each instance has the rate and burst
/// divided by the number of instances. Baseline for comparison with ShardRateLimiter. Thread safe.
class LocalLimits
{
public:
    /// Requests one token. The number of instances includes this one.
    BucketAnswer request(const std::string &organisation, const RateLimit &limit,
                         std::size_t instances, SteadyTime now);

private:
    struct Bucket
    {
        BucketLimit share;
        TokenBucket tokens;
    };

    std::mutex m_mutex;
    std::unordered_map<std::string, Bucket> m_buckets;
};

/// Returns the share of one of several instances, in integer units. Its capacity is at least one
/// token, since a smaller one would never grant anything.
BucketLimit localShare(const RateLimit &limit, std::size_t instances);

} // namespace pistachiofall
