#pragma once

#include "coord/coordtimes.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace pistachiofall {

/// The stored objects whose newest state an instance must know to serve requests.
enum class ConfirmedObject { Rules, ShardTable };

/// Tracks how fresh this instance's knowledge of the store is and whether the instance is isolated.
/// It is isolated if its state was never confirmed, or if its newest confirmation is older than
/// IsolationTimeout and at most half of the known members (itself included) support it. A peer
/// supports the instance for a limited time by its heartbeat answer. Each confirmation and answer
/// is dated by the time of its request, so that data left in a socket buffer while the process was
/// paused counts as old. Thread safe.
class IsolationMonitor
{
public:
    /// With more members than this, including this instance, heartbeats go to a random sample. At
    /// least half of those sent within IsolationTimeout must then have an answer that still
    /// supports the instance; heartbeats whose answer gave no support or whose support has expired
    /// are not counted.
    static constexpr std::size_t FullMeshMembers = 16;

    /// Takes the name of this instance.
    explicit IsolationMonitor(std::string self);

    /// A new member is not counted for this long after it became known, unless it supports the
    /// instance: the answer to its first heartbeat may still be in flight. While there are such
    /// members, at least one peer must support the instance.
    static constexpr std::chrono::milliseconds NewMemberGrace{1500};

    /// Sets the names of all members of the fleet, with or without this instance. A member that is
    /// no longer named is still counted while there is no fresh confirmation, unless it has ended:
    /// an instance that gets no answers must not conclude that it is the only member.
    void setMembers(std::span<const std::string> names, SteadyTime now);

    /// Records that the member has ended: its address refused a connection, or EndedInstances
    /// reports it. It is not counted until it answers a heartbeat that was sent later.
    void memberEnded(std::string_view name, SteadyTime now);

    /// Records that this instance knows the newest state that the object had at asOf. That is the
    /// start of a successful read by this instance, the latest time for which a watch is known to
    /// have reported all changes, or the time a heartbeat was sent minus the age in its answer.
    /// Must be called only after that state is applied (rules) or its epoch is announced
    /// (ShardRateLimiter::announceEpoch).
    void confirmed(ConfirmedObject object, SteadyTime asOf);

    /// Records that a read or watch of the store by this instance, started at the given time, has
    /// failed.
    void storeFailed(SteadyTime startedAt);

    /// Records a heartbeat sent to the member, which may have become known after the last call of
    /// setMembers().
    void heartbeatSent(std::string_view member, SteadyTime sentAt);

    /// Records the member's answer to the heartbeat sent at that time, with the age that
    /// reportedAge() returned at the member. Must be called only after the state in the answer is
    /// applied or announced, as for confirmed().
    void heartbeatAnswered(std::string_view member, SteadyTime sentAt,
                           std::optional<std::chrono::milliseconds> confirmationAge);

    /// Returns whether the instance must not serve requests at this time. A caller must pass the
    /// same time here and to the request for tokens that depends on the result.
    bool isIsolated(SteadyTime now) const;

    /// Returns the age of the newest confirmation of both objects, by this instance or through a
    /// peer, which decides whether to read the store; empty before the first confirmation.
    std::optional<std::chrono::milliseconds> confirmationAge(SteadyTime now) const;

    /// Returns the age to report in heartbeats: at most StoreReadThreshold means that the store is
    /// reachable, a greater age that it is unreachable. Empty if neither is certain: there was no
    /// confirmation yet, or it is old and no read has failed since, as in a process that was
    /// paused.
    std::optional<std::chrono::milliseconds> reportedAge(SteadyTime now) const;

private:
    struct Member
    {
        SteadyTime knownSince;
        std::optional<SteadyTime> lastAnswer;
        // In the past unless the member supports this instance.
        SteadyTime supportsUntil;
        std::optional<SteadyTime> endedAt;
    };

    struct SentHeartbeat
    {
        std::string member;
        SteadyTime sentAt;
        // The clock's epoch until an answer arrives.
        SteadyTime supportsUntil;
    };

    bool isConfirmed(SteadyTime now) const;
    std::optional<SteadyTime> confirmedAsOf() const;
    std::optional<std::chrono::milliseconds> ageAt(SteadyTime now) const;
    bool majoritySupports(SteadyTime now) const;
    bool halfOfSampleSupports(SteadyTime now) const;

    mutable std::mutex m_mutex;
    std::string m_self;
    std::array<std::optional<SteadyTime>, 2> m_confirmed;
    std::optional<SteadyTime> m_storeFailed;
    std::map<std::string, Member, std::less<>> m_members;
    std::deque<SentHeartbeat> m_sentHeartbeats;
};

} // namespace pistachiofall
