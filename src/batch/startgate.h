#pragma once

#include "base/clock.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace pistachiofall {

/// Decides whether an item of a shard may be sent now. Thread-safe.
class StartGate
{
public:
    /// Returns the epoch at which this instance holds a shard, or nullopt if it does not hold the
    /// shard now.
    using OwnsShard = std::function<std::optional<std::uint64_t>(std::uint32_t shard)>;

    StartGate(const Clock &clock, std::chrono::milliseconds readFreshness, OwnsShard ownsShard);

    /// Records a successful read of the jobs that began at readStart.
    void onJobsRead(std::chrono::steady_clock::time_point readStart) { m_lastRead = readStart; }

    /// Closes the gate permanently: mayStart() returns false from now on.
    void close() { m_isClosed = true; }

    bool mayStart(std::uint32_t shard) const;

    std::optional<std::uint64_t> epochOf(std::uint32_t shard) const { return m_ownsShard(shard); }

private:
    const Clock &m_clock;
    std::chrono::milliseconds m_readFreshness;
    OwnsShard m_ownsShard;
    std::atomic<std::chrono::steady_clock::time_point> m_lastRead{
            std::chrono::steady_clock::time_point::min()};
    std::atomic<bool> m_isClosed{false};
};

} // namespace pistachiofall
