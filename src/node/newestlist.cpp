#include "node/newestlist.h"

#include "node/instancelistcodec.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

std::optional<ListReading> NewestList::reading() const
{
    const std::scoped_lock lock(m_mutex);
    return m_reading;
}

NewestList::Change NewestList::take(InstanceList list, SteadyTime asOf)
{
    const std::uint64_t hash = pistachiofall::contentHash(list);
    const std::scoped_lock lock(m_mutex);
    if (m_reading && list.version < m_reading->list->version)
        return Change::None;
    if (m_reading && hash == m_reading->contentHash)
        return confirmLocked(list.version, asOf);
    const SteadyTime newest = m_reading ? std::max(m_reading->asOf, asOf) : asOf;
    m_reading = {std::make_shared<const InstanceList>(std::move(list)), hash, newest};
    return Change::Replaced;
}

NewestList::Change NewestList::confirm(std::uint64_t version, std::uint64_t contentHash,
                                       SteadyTime asOf)
{
    const std::scoped_lock lock(m_mutex);
    if (!m_reading || contentHash != m_reading->contentHash || version < m_reading->list->version)
        return Change::None;
    return confirmLocked(version, asOf);
}

bool NewestList::isReplacedBy(std::uint64_t version, std::uint64_t contentHash) const
{
    const std::scoped_lock lock(m_mutex);
    if (version == 0)
        return false;
    return !m_reading
            || (version > m_reading->list->version && contentHash != m_reading->contentHash);
}

NewestList::Change NewestList::confirmLocked(std::uint64_t version, SteadyTime asOf)
{
    if (version > m_reading->list->version) {
        InstanceList raised = *m_reading->list;
        raised.version = version;
        m_reading->list = std::make_shared<const InstanceList>(std::move(raised));
    }
    if (asOf <= m_reading->asOf)
        return Change::None;
    m_reading->asOf = asOf;
    return Change::Confirmed;
}

} // namespace pistachiofall
