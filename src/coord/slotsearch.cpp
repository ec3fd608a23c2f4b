#include "coord/slotsearch.h"

#include <algorithm>

namespace pistachiofall {

void SlotSearch::begin(TimePoint now)
{
    m_startedAt = now;
    m_full.clear();
    m_revocable.clear();
    m_looksAgain = false;
}

SlotSearch::WaitMode SlotSearch::nextWaitMode(std::size_t inService, bool areAllFull,
                                              TimePoint now) const
{
    if (!m_revocable.empty() && m_revocable.size() >= std::min(RevocableProbes, inService))
        return WaitMode::ShortWait;
    if ((areAllFull && !m_looksAgain) || inService == 1
        || m_full.size() >= std::min(MaxProbes, inService))
        return WaitMode::Queue;
    return now - m_startedAt >= MaxProbeTime ? WaitMode::ShortWait : WaitMode::Probe;
}

std::set<std::string> SlotSearch::excluded(WaitMode mode) const
{
    std::set<std::string> names = m_tried;
    if (mode == WaitMode::Probe)
        names.insert(m_full.begin(), m_full.end());
    return names;
}

void SlotSearch::addRevocable(const std::string &endpoint, std::chrono::milliseconds age)
{
    m_revocable[endpoint] = age;
}

std::optional<std::string> SlotSearch::shortWaitTarget(WaitMode mode) const
{
    if (mode != WaitMode::ShortWait || m_revocable.empty())
        return std::nullopt;
    const auto hasNewer = [](const auto &a, const auto &b) { return a.second < b.second; };
    return std::min_element(m_revocable.begin(), m_revocable.end(), hasNewer)->first;
}

SlotSearch::NextStep SlotSearch::onRefused(const std::string &endpoint, bool isOverloaded,
                                           WaitMode mode)
{
    if (mode == WaitMode::ShortWait)
        m_revocable.clear();
    if (isOverloaded && mode != WaitMode::Queue) {
        m_full.insert(endpoint);
        // A full queue refuses without a wait, so the next attempt after a short wait is delayed.
        return mode == WaitMode::ShortWait ? NextStep::TryAnotherLater : NextStep::TryAnother;
    }
    const bool isNew = m_tried.insert(endpoint).second;
    if (isNew)
        return NextStep::TryAnother;
    // The first refusal by an endpoint is followed by a try at another one. If an endpoint that was
    // tried before still has a full queue after the whole wait, the request is shed.
    return isOverloaded ? NextStep::GiveUp : NextStep::TryAnotherLater;
}

void SlotSearch::onQueueWaitEnded(const std::string &endpoint, TimePoint now)
{
    begin(now);
    m_looksAgain = true;
    m_full.insert(endpoint);
}

} // namespace pistachiofall
