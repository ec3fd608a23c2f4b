#include "serving/itemoutput.h"

namespace pistachiofall {

ItemOutput::ItemOutput(ItemProgress &progress, SteadyTime begin,
                       std::chrono::milliseconds firstEvent, std::chrono::milliseconds gap)
    : m_progress(progress)
    , m_eventProgress(begin, firstEvent, gap)
{ }

ItemOutput::State ItemOutput::take(std::string_view piece, SteadyTime now)
{
    const bool isEnd = piece.empty();
    const bool isRead =
            m_splitter.feed(piece, [&](const StreamEvent &event) { takeEvent(event, now); });
    if (!isRead || !m_isInOrder || (isEnd && m_splitter.hasPartialEvent()))
        return State::Invalid;
    const std::size_t size = m_progress.output.size() + m_splitter.bufferedBytes();
    if (size > MaxBytes || !m_progress.outputShare.resize(heldBytes(size)))
        return State::TooLarge;
    if (isEnd)
        return State::Complete;
    return m_eventProgress.isStalled(now) ? State::Invalid : State::GoesOn;
}

void ItemOutput::takeEvent(const StreamEvent &event, SteadyTime now)
{
    m_eventProgress.recordEvent(now);
    if (event.id && m_progress.lastEventId && *event.id != *m_progress.lastEventId + 1)
        m_isInOrder = false;
    // An item could not be resumed after data without an id.
    if (event.hasData && !event.id)
        m_isInOrder = false;
    if (!m_isInOrder || !event.hasData)
        return;
    if (m_progress.hasOutput)
        m_progress.output += '\n';
    m_progress.output += event.data;
    m_progress.hasOutput = true;
    m_progress.lastEventId = event.id;
    ++m_eventCount;
}

} // namespace pistachiofall
