#pragma once

#include "coord/coordtimes.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pistachiofall {

/// Detects ended instances from snapshots of the instance list, which may lag: an instance has
/// ended if it was listed and is absent from newer snapshots for longer than EndedAfterListed.
/// Names that were never listed count as ended after EndedAfterUnlisted; otherwise shards would
/// stay without a holder when all instances are replaced at once. Absence accumulates only while
/// snapshots are read at most MaxSnapshotGap apart. Thread safe.
class EndedInstances
{
public:
    /// Records a snapshot that arrived at now, from the store or through a peer; its read began at
    /// asOf or later. Ignored if its version is lower than the newest one, or if it has the newest
    /// version and its read is no newer.
    ///
    /// Absence is measured from now, which is never before the read, to asOf of the newest
    /// snapshot, which is never after its read; a gap is measured from the newest asOf to now. A
    /// snapshot that arrives late, twice or out of order can therefore only lengthen the time until
    /// an instance counts as ended, compared with reads by this instance at the same times.
    void recordSnapshot(std::uint64_t version, std::span<const std::string> names, SteadyTime asOf,
                        SteadyTime now);

    /// Records that the instance answered a message sent at the given time. Its absence is measured
    /// from that time.
    void recordAnswer(std::string_view name, SteadyTime sentAt);

    /// Returns the time since which the instance counts as ended, or empty if it does not. The
    /// absence of a name that was neither listed nor recorded by recordAnswer() is measured from
    /// the first call for it.
    std::optional<SteadyTime> endedSince(std::string_view name, SteadyTime now);

private:
    struct Presence
    {
        bool wasListed = false;
        std::optional<SteadyTime> absentSince;
        std::optional<SteadyTime> endedSince;
    };

    void updateEnded(Presence &presence, SteadyTime now) const;

    std::mutex m_mutex;
    std::uint64_t m_version = 0;
    // The newest asOf of all snapshots.
    SteadyTime m_lastRead;
    std::map<std::string, Presence, std::less<>> m_instances;
};

} // namespace pistachiofall
