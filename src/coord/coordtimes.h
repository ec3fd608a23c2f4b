#pragma once

#include <chrono>

namespace pistachiofall {

using SteadyTime = std::chrono::steady_clock::time_point;

/// An instance whose newest confirmation from the store is older than this may serve only while
/// enough of its peers support it (IsolationMonitor).
inline constexpr std::chrono::milliseconds IsolationTimeout{4000};

/// An instance reads the store itself when no confirmation, its own or through a peer, is younger
/// than this.
inline constexpr std::chrono::milliseconds StoreReadThreshold{3000};

/// How long a failed read of the store counts as evidence that the store is unreachable. Reads are
/// tried about every second and take up to a second, so the next one ends before this expires.
inline constexpr std::chrono::milliseconds StoreFailureLifetime{6000};

/// How long a peer's confirmation keeps an instance from being isolated. It is below the 5 s within
/// which a withdrawn key must stop working. A round of heartbeats (1 s) fits between
/// StoreReadThreshold and this, so that a store outage is recognised before any instance is
/// isolated.
inline constexpr std::chrono::milliseconds PeerConfirmationLifetime{4800};

/// The maximum time from a request for tokens to the due time of its grant.
inline constexpr std::chrono::milliseconds MaxGrantWait{200};

/// A grant that is still unused this long after its due time is discarded.
inline constexpr std::chrono::milliseconds GrantLifetime{1000};

/// After a takeover, which the former holder did not agree to, the new holder uses the place only
/// this long after it learned of it. By then a former holder that has not learned of the takeover
/// is isolated and its last grants are due.
inline constexpr std::chrono::milliseconds TakeoverDelay = PeerConfirmationLifetime + MaxGrantWait;

/// When a bucket becomes divided or undivided, one half of it moves to the other place. The new
/// holder uses this half only this long after it learned of the change. The delay covers an
/// instance that cannot reach the store, whose peers are about to reach it again after an outage
/// (about 3 s) and which then loses its peers (IsolationTimeout).
inline constexpr std::chrono::milliseconds DivisionChangeDelay{7500};

/// An instance that was listed counts as ended when it is absent from the instance list for longer
/// than this.
inline constexpr std::chrono::milliseconds EndedAfterListed{6000};

/// An instance that was never listed counts as ended when it is absent from the instance list for
/// longer than this. The time is long because the instance may have started too recently to be
/// listed.
inline constexpr std::chrono::milliseconds EndedAfterUnlisted{60000};

/// An instance reads the instance list itself when no snapshot, its own or a peer's, is younger
/// than this. A read of the store (1 s) fits between this and MaxSnapshotGap, so that an instance
/// whose peers stop answering sees no gap.
inline constexpr std::chrono::milliseconds ListReadThreshold{3500};

/// If more time than this passes between two snapshots of the list, absence is counted from zero.
/// This ensures that after a store outage all instances learn of the changes before any place is
/// taken over.
inline constexpr std::chrono::milliseconds MaxSnapshotGap{5000};

/// The member with rank k waits k times this long before a change that any member may make, so that
/// members do not race for the conditional update.
inline constexpr std::chrono::milliseconds RankDelay{2000};

/// How long a rebalancer waits for a holder to release its places. A holder waits up to
/// MaxGrantWait before it answers; the rest is margin for a busy instance. It is below RankDelay,
/// so that the next rebalancer in rank does not start before the write.
inline constexpr std::chrono::milliseconds ReleaseTimeout{1000};

/// A holder that has released places and learns of no newer table for this long changes the table
/// itself. The next rebalancer in rank, which starts RankDelay after the first, comes before it.
inline constexpr std::chrono::milliseconds UnusedReleaseTimeout{5000};

} // namespace pistachiofall
