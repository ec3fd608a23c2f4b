#include "coord/isolationmonitor.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pistachiofall {

using std::chrono::milliseconds;

IsolationMonitor::IsolationMonitor(std::string self)
    : m_self(std::move(self))
{ }

void IsolationMonitor::setMembers(std::span<const std::string> names, SteadyTime now)
{
    const std::scoped_lock lock(m_mutex);
    const std::set<std::string_view> named(names.begin(), names.end());
    const bool mayRemove = isConfirmed(now);
    std::erase_if(m_members, [&](const auto &entry) {
        return !named.contains(entry.first) && (mayRemove || entry.second.endedAt);
    });
    for (const std::string &name : names) {
        if (name != m_self)
            m_members.try_emplace(name, Member{now, {}, {}, {}});
    }
}

void IsolationMonitor::memberEnded(std::string_view name, SteadyTime now)
{
    const std::scoped_lock lock(m_mutex);
    const auto position = m_members.find(name);
    if (position == m_members.end())
        return;
    position->second.endedAt = now;
    position->second.supportsUntil = {};
}

void IsolationMonitor::confirmed(ConfirmedObject object, SteadyTime asOf)
{
    const std::scoped_lock lock(m_mutex);
    auto &newest = m_confirmed[static_cast<std::size_t>(object)];
    newest = std::max(newest.value_or(asOf), asOf);
}

void IsolationMonitor::storeFailed(SteadyTime startedAt)
{
    const std::scoped_lock lock(m_mutex);
    m_storeFailed = std::max(m_storeFailed.value_or(startedAt), startedAt);
}

void IsolationMonitor::heartbeatSent(std::string_view member, SteadyTime sentAt)
{
    const std::scoped_lock lock(m_mutex);
    m_members.try_emplace(std::string(member), Member{sentAt, {}, {}, {}});
    m_sentHeartbeats.push_back({std::string(member), sentAt, {}});
    while (sentAt - m_sentHeartbeats.front().sentAt > IsolationTimeout)
        m_sentHeartbeats.pop_front();
}

void IsolationMonitor::heartbeatAnswered(std::string_view name, SteadyTime sentAt,
                                         std::optional<milliseconds> reportedAge)
{
    // An answer from a peer that cannot reach the store only shows that the store is unreachable,
    // so its support is dated by the heartbeat. A peer that can reach the store confirms the state
    // that it knew, which may be older than the answer.
    SteadyTime supportsUntil = sentAt - SteadyTime::duration{1};
    if (reportedAge && *reportedAge <= StoreReadThreshold)
        supportsUntil = sentAt - *reportedAge + PeerConfirmationLifetime;
    else if (reportedAge)
        supportsUntil = sentAt + IsolationTimeout;
    const std::scoped_lock lock(m_mutex);
    const auto answered = std::ranges::find_if(m_sentHeartbeats, [&](const SentHeartbeat &sent) {
        return sent.sentAt == sentAt && sent.member == name;
    });
    if (answered != m_sentHeartbeats.end())
        answered->supportsUntil = supportsUntil;
    const auto position = m_members.find(name);
    if (position == m_members.end())
        return;
    Member &member = position->second;
    if ((member.lastAnswer && sentAt <= *member.lastAnswer)
        || (member.endedAt && sentAt <= *member.endedAt))
        return;
    member.lastAnswer = sentAt;
    member.endedAt.reset();
    if (reportedAge)
        member.supportsUntil = supportsUntil;
}

bool IsolationMonitor::isIsolated(SteadyTime now) const
{
    const std::scoped_lock lock(m_mutex);
    if (isConfirmed(now))
        return false;
    if (!confirmedAsOf())
        return true;
    return m_members.size() < FullMeshMembers ? !majoritySupports(now) : !halfOfSampleSupports(now);
}

std::optional<milliseconds> IsolationMonitor::confirmationAge(SteadyTime now) const
{
    const std::scoped_lock lock(m_mutex);
    return ageAt(now);
}

std::optional<milliseconds> IsolationMonitor::reportedAge(SteadyTime now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto age = ageAt(now);
    const bool isStoreUnreachable = m_storeFailed && now - *m_storeFailed <= StoreFailureLifetime
            && *m_storeFailed >= confirmedAsOf();
    if (!age || (*age > StoreReadThreshold && !isStoreUnreachable))
        return std::nullopt;
    return age;
}

std::optional<milliseconds> IsolationMonitor::ageAt(SteadyTime now) const
{
    const auto asOf = confirmedAsOf();
    if (!asOf)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(std::max(now - *asOf, SteadyTime::duration{}));
}

bool IsolationMonitor::isConfirmed(SteadyTime now) const
{
    const auto asOf = confirmedAsOf();
    return asOf && now - *asOf <= IsolationTimeout;
}

std::optional<SteadyTime> IsolationMonitor::confirmedAsOf() const
{
    const auto &[rules, table] = m_confirmed;
    if (!rules || !table)
        return std::nullopt;
    return std::min(*rules, *table);
}

bool IsolationMonitor::majoritySupports(SteadyTime now) const
{
    // The instance supports itself.
    std::size_t known = 1;
    std::size_t supporting = 1;
    bool hasNewMember = false;
    for (const auto &[name, member] : m_members) {
        const bool supports = member.supportsUntil >= now;
        const bool isNew = !supports && !member.endedAt && now - member.knownSince < NewMemberGrace;
        hasNewMember = hasNewMember || isNew;
        known += member.endedAt || isNew ? 0 : 1;
        supporting += supports ? 1 : 0;
    }
    // Half is too few: after a partition into equal halves, the half without the store would go on
    // serving, although its places may be taken over and its rules may be stale.
    return supporting * 2 > known && (supporting > 1 || !hasNewMember);
}

bool IsolationMonitor::halfOfSampleSupports(SteadyTime now) const
{
    std::size_t counted = 0;
    std::size_t supporting = 0;
    for (const SentHeartbeat &heartbeat : m_sentHeartbeats) {
        const bool supports = heartbeat.supportsUntil >= now;
        const bool isUnanswered = heartbeat.supportsUntil == SteadyTime{};
        if (now - heartbeat.sentAt > IsolationTimeout || (!supports && !isUnanswered))
            continue;
        ++counted;
        supporting += supports ? 1 : 0;
    }
    return counted > 0 && supporting * 2 >= counted;
}

} // namespace pistachiofall
