#pragma once

#include "coord/coordtimes.h"

#include <chrono>
#include <cstddef>

namespace pistachiofall {

/// Decides whether this instance watches one kind of the store's objects itself or follows the
/// instances of its group that do. The load that it answers: if all instances watch, each change
/// costs a call from each of them, so that an endpoint that comes or goes costs as many calls as
/// the fleet has instances. Within a group, which are the instances that report to each other many
/// times within the bound on changes, two watch; the others hear from the reports that there is a
/// change, and fetch it from one of the two.
///
/// Not thread safe.
class WatchSharing
{
public:
    /// The instances of a group that watch the store. With two, a group follows on while one of
    /// them stops or is refused by the store.
    static constexpr std::size_t WatchersPerGroup = 2;
    /// The size, this instance included, from which on a group shares its watches. A smaller one
    /// would save a call or two a change.
    static constexpr std::size_t MinGroupSize = 4;
    /// How long an instance watches the store itself after its peers could not tell the changes.
    static constexpr std::chrono::seconds OwnWatchTime{10};
    /// A follower that hears of no change fetches as often as this, so that what it knows stays
    /// within what the store and its peers keep.
    static constexpr std::chrono::seconds RefreshInterval{5};
    /// The time between two fetches while a peer knows a newer change. Those that watch may hear of
    /// it a moment later than an instance of another group.
    static constexpr std::chrono::milliseconds FetchInterval{250};

    /// Whether to follow the peers now. The rank is the number of instances of the group that come
    /// before this one in the order of who watches.
    bool shouldFollow(std::size_t rank, std::size_t groupSize, SteadyTime now) const;
    /// Whether to fetch changes now. isBehind tells that a peer knows a newer change.
    bool shouldFetch(bool isBehind, SteadyTime now) const;

    void recordFetched(SteadyTime now);
    /// No peer that watches could tell the changes.
    void recordFailed(SteadyTime now);

private:
    SteadyTime m_lastFetch{};
    SteadyTime m_ownWatchUntil{};
};

} // namespace pistachiofall
