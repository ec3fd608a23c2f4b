#include "batch/jobid.h"

#include "batch/contenthasher.h"
#include "coord/shardtable.h"

namespace pistachiofall {

JobId JobId::of(std::string_view organisation, std::string_view idempotencyKey)
{
    ContentHasher hasher;
    hasher.addText(organisation);
    hasher.addText(idempotencyKey);
    return JobId(hasher.finish());
}

std::optional<JobId> JobId::parse(std::string_view text)
{
    const auto hash = ContentHash::fromHex(text);
    if (!hash)
        return std::nullopt;
    return JobId(*hash);
}

std::uint32_t JobId::shard(std::size_t shardCount) const
{
    return shardOf(toString(), shardCount);
}

} // namespace pistachiofall
