#include "coord/endedinstances.h"

#include <algorithm>

namespace pistachiofall {

namespace {

// Absent names are dropped after this time, since each restart may leave a new one. A name that is
// still in the shard table then counts as never listed, and as ended after EndedAfterUnlisted.
constexpr std::chrono::minutes ForgetAfter{10};

} // namespace

void EndedInstances::recordSnapshot(std::uint64_t version, std::span<const std::string> names,
                                    SteadyTime asOf, SteadyTime now)
{
    const std::scoped_lock lock(m_mutex);
    if (version < m_version || (version == m_version && asOf <= m_lastRead))
        return;
    m_version = version;
    const bool isAfterGap = now - m_lastRead > MaxSnapshotGap;
    m_lastRead = std::max(m_lastRead, asOf);
    for (auto &[name, presence] : m_instances) {
        if (!presence.absentSince || isAfterGap) {
            presence.absentSince = now;
            presence.endedSince.reset();
        }
    }
    for (const std::string &name : names)
        m_instances[name] = Presence{true, std::nullopt, std::nullopt};
    for (auto &[name, presence] : m_instances)
        updateEnded(presence, now);
    std::erase_if(m_instances, [this](const auto &entry) {
        return entry.second.absentSince && m_lastRead - *entry.second.absentSince > ForgetAfter;
    });
}

void EndedInstances::recordAnswer(std::string_view name, SteadyTime sentAt)
{
    const std::scoped_lock lock(m_mutex);
    auto position = m_instances.find(name);
    if (position == m_instances.end())
        position = m_instances.emplace(std::string(name), Presence{false, sentAt, {}}).first;
    Presence &presence = position->second;
    if (presence.absentSince && *presence.absentSince <= sentAt) {
        presence.absentSince = sentAt;
        presence.endedSince.reset();
    }
}

std::optional<SteadyTime> EndedInstances::endedSince(std::string_view name, SteadyTime now)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto position = m_instances.find(name); position != m_instances.end())
        return position->second.endedSince;
    m_instances.emplace(std::string(name), Presence{false, now, std::nullopt});
    return std::nullopt;
}

void EndedInstances::updateEnded(Presence &presence, SteadyTime now) const
{
    if (!presence.absentSince || presence.endedSince)
        return;
    const auto bound = presence.wasListed ? EndedAfterListed : EndedAfterUnlisted;
    if (m_lastRead - *presence.absentSince > bound)
        presence.endedSince = now;
}

} // namespace pistachiofall
