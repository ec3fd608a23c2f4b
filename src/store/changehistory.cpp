#include "store/changehistory.h"

#include <algorithm>

namespace pistachiofall {

void ChangeHistory::recordListing(std::uint64_t revision)
{
    m_entries.clear();
    m_begin = revision;
    m_end = revision;
}

void ChangeHistory::recordChanges(const SpaceChanges &changes)
{
    if (changes.revision <= m_end)
        return;
    for (const SpaceEvent &event : changes.events)
        m_entries.push_back({event, changes.revision});
    m_end = changes.revision;
    while (m_entries.size() > MaxEvents) {
        m_begin = m_entries.front().completeUpTo;
        m_entries.pop_front();
    }
}

std::optional<SpaceChanges> ChangeHistory::since(std::uint64_t revision) const
{
    if (m_end == 0 || revision < m_begin)
        return std::nullopt;
    SpaceChanges changes;
    changes.revision = std::max(revision, m_end);
    for (const Entry &entry : m_entries) {
        if (entry.completeUpTo > revision)
            changes.events.push_back(entry.event);
    }
    return changes;
}

} // namespace pistachiofall
