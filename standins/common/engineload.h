#pragma once

#include "common/enginesettings.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>

namespace pistachiofall::standins {

/// How much the engine has to do and how fast it therefore is. Safe to use from several threads.
///
/// Up to the slots, requests run at full speed. Further ones queue, and each step takes longer in
/// proportion to what is in flight; above 4 times the slots requests are rejected. While the engine
/// is cold, steps take 4 times as long, and a request above the cold slots is an overload event:
/// it is rejected, and for 2 s all steps take 10 times as long and new requests are rejected.
class EngineLoad
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Counts since the start.
    struct Stats
    {
        std::uint64_t requests = 0;
        std::uint64_t rejected = 0;
        std::uint64_t overloadEvents = 0;
        std::size_t inFlight = 0;
        std::size_t peakInFlight = 0;
        std::size_t peakInFlightCold = 0;
        bool isCold = false;
    };

    /// The load at one time.
    struct Sample
    {
        TimePoint time;
        std::size_t running = 0;
        std::size_t waiting = 0;
    };

    EngineLoad(const EngineSettings &settings, TimePoint start);

    /// A request arrives. Returns its ticket, or 0 when it is rejected.
    std::uint64_t enter(TimePoint now);
    /// Whether the request has, or now gets, a place among those that run. First come, first
    /// served.
    bool tryStart(std::uint64_t ticket, TimePoint now);
    /// A request that was not rejected has ended.
    void leave(std::uint64_t ticket, TimePoint now);

    /// How long a step takes now that takes the time at full speed.
    std::chrono::nanoseconds stepTime(std::chrono::nanoseconds fullSpeed, TimePoint now) const;

    void setCold(bool isCold);
    /// Off: the cold engine takes requests above the cold slots and is only slow.
    void setColdRefusing(bool isRefusing);
    Stats stats(TimePoint now) const;
    /// The load as it was before the lag of the settings.
    Sample laggedSample(TimePoint now);

private:
    bool isCold(TimePoint now) const;
    void record(TimePoint now);

    EngineSettings m_settings;
    mutable std::mutex m_mutex;
    TimePoint m_coldUntil;
    bool m_isColdRefusing = true;
    TimePoint m_collapsedUntil;
    std::uint64_t m_lastTicket = 0;
    std::size_t m_running = 0;
    std::deque<std::uint64_t> m_waiting;
    Stats m_stats;
    std::deque<Sample> m_samples;
};

} // namespace pistachiofall::standins
