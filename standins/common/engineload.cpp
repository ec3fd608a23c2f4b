#include "common/engineload.h"

#include <algorithm>

namespace pistachiofall::standins {

namespace {

constexpr std::size_t RejectFactor = 4;
constexpr double ColdFactor = 4;
constexpr double CollapseFactor = 10;
constexpr std::chrono::seconds CollapseTime{2};

} // namespace

EngineLoad::EngineLoad(const EngineSettings &settings, TimePoint start)
    : m_settings(settings)
    , m_coldUntil(start + settings.coldTime)
    , m_collapsedUntil(start)
{
    m_samples.push_back({start, 0, 0});
}

bool EngineLoad::isCold(TimePoint now) const
{
    return now < m_coldUntil;
}

void EngineLoad::record(TimePoint now)
{
    m_samples.push_back({now, m_running, m_waiting.size()});
    const TimePoint shown = now - m_settings.metricsLag;
    while (m_samples.size() > 1 && m_samples[1].time <= shown)
        m_samples.pop_front();
}

std::uint64_t EngineLoad::enter(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    ++m_stats.requests;
    const std::size_t inFlight = m_running + m_waiting.size() + 1;
    m_stats.peakInFlight = std::max(m_stats.peakInFlight, inFlight);
    bool isRejected = inFlight > RejectFactor * m_settings.slots || now < m_collapsedUntil;
    if (isCold(now)) {
        m_stats.peakInFlightCold = std::max(m_stats.peakInFlightCold, inFlight);
        if (inFlight > m_settings.coldSlots && m_isColdRefusing) {
            ++m_stats.overloadEvents;
            m_collapsedUntil = now + CollapseTime;
            isRejected = true;
        }
    }
    if (isRejected) {
        ++m_stats.rejected;
        return 0;
    }
    m_waiting.push_back(++m_lastTicket);
    record(now);
    return m_lastTicket;
}

bool EngineLoad::tryStart(std::uint64_t ticket, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = std::find(m_waiting.begin(), m_waiting.end(), ticket);
    if (found == m_waiting.end())
        return true;
    if (found != m_waiting.begin() || m_running >= m_settings.slots)
        return false;
    m_waiting.pop_front();
    ++m_running;
    record(now);
    return true;
}

void EngineLoad::leave(std::uint64_t ticket, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = std::find(m_waiting.begin(), m_waiting.end(), ticket);
    if (found == m_waiting.end())
        --m_running;
    else
        m_waiting.erase(found);
    record(now);
}

std::chrono::nanoseconds EngineLoad::stepTime(std::chrono::nanoseconds fullSpeed,
                                              TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto inFlight = static_cast<double>(m_running + m_waiting.size());
    double factor = std::max(1.0, inFlight / static_cast<double>(m_settings.slots));
    if (isCold(now))
        factor *= ColdFactor;
    if (now < m_collapsedUntil)
        factor *= CollapseFactor;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(fullSpeed * factor);
}

void EngineLoad::setCold(bool isCold)
{
    const std::scoped_lock lock(m_mutex);
    m_coldUntil = isCold ? TimePoint::max() : TimePoint::min();
}

void EngineLoad::setColdRefusing(bool isRefusing)
{
    const std::scoped_lock lock(m_mutex);
    m_isColdRefusing = isRefusing;
}

EngineLoad::Stats EngineLoad::stats(TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    Stats stats = m_stats;
    stats.inFlight = m_running + m_waiting.size();
    stats.isCold = isCold(now);
    return stats;
}

EngineLoad::Sample EngineLoad::laggedSample(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    record(now);
    return m_samples.front();
}

} // namespace pistachiofall::standins
