#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace pistachiofall {

/// Circuit breaker for an endpoint that accepts no connections: pauses requests to it and probes
/// with single requests whether it is reachable again. Not thread safe.
class EndpointReachability
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// More than one, because a single failure may be the fault of the instance that tried to
    /// connect.
    static constexpr int FailuresUntilPause = 2;
    static constexpr std::chrono::milliseconds FirstPause{500};
    /// An endpoint that recovers gets requests again after at most this time.
    static constexpr std::chrono::milliseconds LongestPause{4000};

    /// Returns whether a request may be sent: none during a pause, and one, the probe, after it.
    bool maySend(TimePoint now) const;

    /// Records that a request got the slot. After a pause this request is the probe, and a new
    /// pause begins.
    void onSent(std::uint64_t slotId, TimePoint now);

    /// Records that a connection was refused or timed out. Only a failure of the probe lengthens
    /// the pause, because many requests may have been in flight when the first one failed.
    void onConnectFailed(std::uint64_t slotId, TimePoint now);

    /// Records that a request reached the endpoint, which ends the pause.
    void onReached();

    bool isPaused() const { return m_pause.count() > 0; }

private:
    int m_failures = 0;
    /// Zero while the endpoint is considered reachable.
    std::chrono::milliseconds m_pause{0};
    TimePoint m_nextProbe;
    std::optional<std::uint64_t> m_probe;
};

} // namespace pistachiofall
