#include "coord/locallimits.h"

#include <algorithm>

namespace pistachiofall {

BucketLimit localShare(const RateLimit &limit, std::size_t instances)
{
    const auto divisor = static_cast<std::int64_t>(std::max<std::size_t>(1, instances));
    const BucketLimit whole = bucketShare(limit, 2);
    return {whole.unitsPerMicrosecond / divisor,
            std::max(whole.capacity / divisor, BucketLimit::UnitsPerToken)};
}

BucketAnswer LocalLimits::request(const std::string &organisation, const RateLimit &limit,
                                  std::size_t instances, SteadyTime now)
{
    const BucketLimit share = localShare(limit, instances);
    const std::scoped_lock lock(m_mutex);
    const Bucket fresh{share, TokenBucket(share, now)};
    Bucket &bucket = m_buckets.try_emplace(organisation, fresh).first->second;
    // Setting a limit rounds the debt up. If it were set on each request, the errors would add up.
    if (bucket.share != share) {
        bucket.tokens.setLimit(share, now);
        bucket.share = share;
    }
    return bucket.tokens.take(1, MaxGrantWait, now);
}

} // namespace pistachiofall
