#pragma once

#include "coord/coordtimes.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace pistachiofall {

/// What an instance tells its peers about its watch of one kind of objects.
struct WatchMark
{
    /// The store's revision of the newest change that the instance knows; 0 if it knows none.
    std::uint64_t newestChange = 0;
    /// How long ago the store confirmed that there was no newer change.
    std::chrono::milliseconds confirmedAge{0};
};

/// Decides when an instance can not rely on its open watch of one kind of objects. A watch may stay
/// open without ever being answered, on a connection that went silent or in a store that dropped
/// the call, and nothing on this side shows it. The instances of a fleet therefore ask the store
/// for changes at a short interval, one instance for all that report to each other often, and tell
/// each other the newest change that they know.
///
/// Not thread safe.
class WatchFreshness
{
public:
    /// The bound is the time within which a change must be known everywhere.
    explicit WatchFreshness(std::chrono::milliseconds changeBound);

    /// The store has sent all changes up to the revision, as of the time given.
    void recordResponse(std::uint64_t revision, SteadyTime asOf);
    /// An object of the kind has changed at the revision, and this instance knows the change.
    void recordChange(std::uint64_t revision);
    /// A peer has reported what it knows.
    void recordPeer(const WatchMark &mark, SteadyTime now);

    /// What to report to peers.
    WatchMark mark(SteadyTime now) const;
    /// The time as of which this instance is known to have all changes; nothing before the first
    /// response of the store.
    std::optional<SteadyTime> confirmedAt() const { return m_confirmedAt; }

    /// Whether to ask the store for changes now. The rank is the number of instances that ask
    /// before this one: each higher rank waits longer, so that it learns the result of a lower one
    /// from its report.
    bool shouldAsk(std::size_t rank, SteadyTime now) const;

    /// Whether a peer has known a newer change for longer than the grace period, in which the watch
    /// of this instance is expected to report it.
    bool isBehind(std::chrono::milliseconds grace, SteadyTime now) const;
    /// The watch has been opened anew, so a further grace period begins.
    void recordRestart(SteadyTime now);

private:
    std::chrono::milliseconds m_changeBound;
    /// All changes up to this revision are known.
    std::uint64_t m_knownRevision = 0;
    std::uint64_t m_newestChange = 0;
    std::uint64_t m_newestPeerChange = 0;
    std::optional<SteadyTime> m_confirmedAt;
    std::optional<SteadyTime> m_behindSince;
};

} // namespace pistachiofall
