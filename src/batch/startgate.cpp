#include "batch/startgate.h"

#include <utility>

namespace pistachiofall {

StartGate::StartGate(const Clock &clock, std::chrono::milliseconds readFreshness,
                     OwnsShard ownsShard)
    : m_clock(clock)
    , m_readFreshness(readFreshness)
    , m_ownsShard(std::move(ownsShard))
{ }

bool StartGate::mayStart(std::uint32_t shard) const
{
    // The clock is read last, so that a pause of the process before this point is taken into
    // account.
    const auto lastRead = m_lastRead.load();
    return !m_isClosed && m_ownsShard(shard) && m_clock.now() - m_readFreshness <= lastRead;
}

} // namespace pistachiofall
