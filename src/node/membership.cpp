#include "node/membership.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

Membership::Membership(std::string self)
    : m_self(std::move(self))
{ }

bool Membership::applyList(const InstanceList &list, TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (list.version < m_listVersion)
        return false;
    m_listVersion = list.version;
    for (auto &[name, member] : m_members)
        member.isListed = false;
    for (const ListedInstance &listed : list.instances) {
        const auto address = SocketAddress::parse(listed.peerAddress);
        if (listed.name == m_self || !isOk(address))
            continue;
        const auto [found, isNew] = m_members.try_emplace(
                listed.name, Member{listed.name, listed.failureDomain, valueOf(address)});
        Member &member = found->second;
        member.isListed = true;
        member.failureDomain = listed.failureDomain;
        // A heartbeat is newer than the list, which lags.
        if (!member.lastHeard) {
            member.address = valueOf(address);
            member.isLeaving = listed.leaving;
        }
    }
    m_listReadAt = now;
    std::erase_if(m_members, [this](const auto &entry) { return !isKnown(entry.second); });
    return true;
}

void Membership::applyHeartbeat(const wire::HeartbeatT &heartbeat, TimePoint now)
{
    if (heartbeat.instance.empty() || heartbeat.instance == m_self)
        return;
    const auto address = SocketAddress::parse(heartbeat.address);
    const std::scoped_lock lock(m_mutex);
    auto found = m_members.find(heartbeat.instance);
    if (found == m_members.end()) {
        // A short heartbeat of an instance that is not known yet; a full one follows.
        if (!isOk(address))
            return;
        const Member added{heartbeat.instance, heartbeat.failureDomain, valueOf(address)};
        found = m_members.emplace(heartbeat.instance, added).first;
    }
    Member &member = found->second;
    if (isOk(address)) {
        member.address = valueOf(address);
        member.failureDomain = heartbeat.failureDomain;
    }
    // Heartbeats may arrive out of order, and a drained process takes on nothing.
    const bool wasDrained = member.isDrained && member.incarnation == heartbeat.incarnation;
    member.isDrained = heartbeat.drained || wasDrained;
    member.incarnation = heartbeat.incarnation;
    member.isLeaving = heartbeat.leaving;
    member.rulesVersion = heartbeat.rulesVersion;
    member.tableEpoch = heartbeat.tableEpoch;
    member.lastHeard = now;
}

void Membership::heartbeatUnanswered(const std::string &name, TimePoint sentAt)
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_members.find(name);
    if (found != m_members.end())
        found->second.lastUnanswered = sentAt;
}

std::vector<Member> Membership::members() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<Member> result;
    result.reserve(m_members.size());
    for (const auto &[name, member] : m_members) {
        if (isKnown(member))
            result.push_back(member);
    }
    return result;
}

std::size_t Membership::memberCount() const
{
    const std::scoped_lock lock(m_mutex);
    return static_cast<std::size_t>(
            std::count_if(m_members.begin(), m_members.end(),
                          [this](const auto &entry) { return isKnown(entry.second); }));
}

bool Membership::isKnown(const Member &member) const
{
    if (member.isListed)
        return true;
    return member.lastHeard && (!m_listReadAt || *m_listReadAt - *member.lastHeard <= UnlistedKept);
}

std::optional<Member> Membership::find(const std::string &name) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return std::nullopt;
    return found->second;
}

} // namespace pistachiofall
