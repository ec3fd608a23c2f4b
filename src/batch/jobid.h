#pragma once

#include "batch/contenthash.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiofall {

/// Identifies a job. Derived from the organisation and the idempotency key, so that a resubmitted
/// job has the same id on every instance.
class JobId
{
public:
    static JobId of(std::string_view organisation, std::string_view idempotencyKey);

    /// Parses the format of toString(). Returns nullopt for anything else.
    static std::optional<JobId> parse(std::string_view text);

    static JobId fromHash(const ContentHash &hash) { return JobId(hash); }

    /// Returns 32 lower-case hexadecimal digits.
    std::string toString() const { return m_hash.hex(); }

    const ContentHash &hash() const { return m_hash; }

    /// Returns the shard of the job. The first holder of this shard runs the job.
    std::uint32_t shard(std::size_t shardCount) const;

    bool operator==(const JobId &) const = default;
    bool operator<(const JobId &other) const { return m_hash < other.m_hash; }

private:
    explicit JobId(const ContentHash &hash)
        : m_hash(hash)
    { }

    ContentHash m_hash;
};

} // namespace pistachiofall
