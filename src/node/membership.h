#pragma once

#include "node/member.h"
#include "store/instancelist.h"
#include "wire/messages.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace pistachiofall {

/// The other instances, from the platform's list and from heartbeats. Thread safe.
class Membership
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit Membership(std::string self);

    /// Takes a snapshot of the platform's list; an older one than the newest is ignored. Returns
    /// whether it was taken.
    bool applyList(const InstanceList &list, TimePoint now);

    /// Takes what a member tells of itself. A member that the list does not have yet is added if
    /// the heartbeat has its address.
    void applyHeartbeat(const wire::HeartbeatT &heartbeat, TimePoint now);

    /// A heartbeat to the member that was sent at the time given got no answer.
    void heartbeatUnanswered(const std::string &name, TimePoint sentAt);

    /// Members that are listed, or were heard within the time in which an unlisted one is kept.
    std::vector<Member> members() const;
    std::size_t memberCount() const;

    std::optional<Member> find(const std::string &name) const;

    /// A member that is not in the list is kept until a list is read this long after it was last
    /// heard. Without a list nobody is forgotten: after a partition in a store outage the sides
    /// could not find each other again.
    static constexpr std::chrono::seconds UnlistedKept{10};

private:
    bool isKnown(const Member &member) const;

    const std::string m_self;
    mutable std::mutex m_mutex;
    std::uint64_t m_listVersion = 0;
    std::optional<TimePoint> m_listReadAt;
    std::map<std::string, Member> m_members;
};

} // namespace pistachiofall
