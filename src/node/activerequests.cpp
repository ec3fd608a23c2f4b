#include "node/activerequests.h"

#include "rules/keycheck.h"

#include <utility>
#include <vector>

namespace pistachiofall {

std::uint64_t ActiveRequests::add(const KeyRule &key, std::function<void()> cancel)
{
    const std::scoped_lock lock(m_mutex);
    const std::uint64_t id = m_nextId++;
    m_entries[id] = Entry{key, std::move(cancel)};
    return id;
}

void ActiveRequests::remove(std::uint64_t id)
{
    const std::scoped_lock lock(m_mutex);
    m_entries.erase(id);
}

std::size_t ActiveRequests::cancelInvalid(const RuleSet &rules)
{
    std::vector<std::function<void()>> callbacks;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[id, entry] : m_entries) {
            if (!isKeyStillValid(rules, entry.key))
                callbacks.push_back(entry.cancel);
        }
    }
    for (const auto &cancel : callbacks)
        cancel();
    return callbacks.size();
}

std::size_t ActiveRequests::cancelAll()
{
    std::vector<std::function<void()>> callbacks;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[id, entry] : m_entries)
            callbacks.push_back(entry.cancel);
    }
    for (const auto &cancel : callbacks)
        cancel();
    return callbacks.size();
}

std::size_t ActiveRequests::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_entries.size();
}

} // namespace pistachiofall
