#include "wire/silencedetector.h"

namespace pistachiofall::detail {

SilenceDetector::SilenceDetector(std::chrono::milliseconds probeAfter,
                                 std::chrono::milliseconds closeAfter)
    : m_probeAfter(probeAfter)
    , m_closeAfter(closeAfter)
{ }

void SilenceDetector::onSent(TimePoint now)
{
    if (!m_quietSince)
        m_quietSince = now;
}

void SilenceDetector::onReceived(TimePoint now, bool isWaiting)
{
    m_probedAt.reset();
    m_quietSince.reset();
    if (isWaiting)
        m_quietSince = now;
}

SilenceDetector::Action SilenceDetector::poll(TimePoint now)
{
    const auto next = nextAction();
    if (!next || now < *next)
        return Action::None;
    if (m_probedAt)
        return Action::Close;
    m_probedAt = now;
    return Action::Probe;
}

std::optional<SilenceDetector::TimePoint> SilenceDetector::nextAction() const
{
    if (!m_quietSince)
        return std::nullopt;
    return m_probedAt ? *m_probedAt + m_closeAfter : *m_quietSince + m_probeAfter;
}

} // namespace pistachiofall::detail
