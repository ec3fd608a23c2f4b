#include "node/heldslots.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

bool HeldSlots::add(const SlotLease &lease, std::uint64_t epoch)
{
    const std::scoped_lock lock(m_mutex);
    const auto surveyed = m_surveyEpochs.find(lease.endpoint);
    if (surveyed != m_surveyEpochs.end() && epoch < surveyed->second)
        return false;
    const bool isCancelled = std::erase(m_earlyCancels, lease.slotId) > 0;
    m_entries[lease.slotId] = Entry{lease, epoch, false, isCancelled, {}};
    return true;
}

bool HeldSlots::use(std::uint64_t slotId, std::function<void()> cancel)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_entries.find(slotId);
    if (found == m_entries.end() || found->second.isCancelled)
        return false;
    found->second.isUsed = true;
    found->second.cancel = std::move(cancel);
    return true;
}

void HeldSlots::remove(std::uint64_t slotId)
{
    const std::scoped_lock lock(m_mutex);
    m_entries.erase(slotId);
}

std::map<std::string, std::vector<HeldSlot>>
HeldSlots::survey(const std::vector<std::string> &endpoints, std::uint64_t epoch)
{
    const std::scoped_lock lock(m_mutex);
    for (const std::string &endpoint : endpoints) {
        std::uint64_t &newest = m_surveyEpochs[endpoint];
        newest = std::max(newest, epoch);
    }
    const auto isAsked = [&](const Entry &entry) {
        return std::find(endpoints.begin(), endpoints.end(), entry.lease.endpoint)
                != endpoints.end();
    };
    std::erase_if(m_entries, [&](const auto &item) {
        return isAsked(item.second) && !item.second.isUsed && item.second.epoch < epoch;
    });
    std::map<std::string, std::vector<HeldSlot>> held;
    for (const auto &[id, entry] : m_entries) {
        if (isAsked(entry))
            held[entry.lease.endpoint].push_back({id, entry.lease.workClass});
    }
    return held;
}

void HeldSlots::cancel(const std::vector<std::uint64_t> &slotIds)
{
    std::vector<std::function<void()>> callbacks;
    {
        const std::scoped_lock lock(m_mutex);
        for (const std::uint64_t id : slotIds) {
            const auto found = m_entries.find(id);
            if (found == m_entries.end()) {
                cancelEarly(id);
                continue;
            }
            found->second.isCancelled = true;
            if (found->second.cancel)
                callbacks.push_back(found->second.cancel);
        }
    }
    for (const auto &callback : callbacks)
        callback();
}

void HeldSlots::cancelEarly(std::uint64_t slotId)
{
    m_earlyCancels.push_back(slotId);
    if (m_earlyCancels.size() > MaxEarlyCancels)
        m_earlyCancels.pop_front();
}

std::map<std::string, std::vector<std::uint64_t>> HeldSlots::slotIds() const
{
    const std::scoped_lock lock(m_mutex);
    std::map<std::string, std::vector<std::uint64_t>> result;
    for (const auto &[id, entry] : m_entries)
        result[entry.lease.endpoint].push_back(id);
    return result;
}

} // namespace pistachiofall
