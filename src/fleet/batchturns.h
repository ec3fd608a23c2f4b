#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pistachiofall {

/// Decides which instance may start batch items at an endpoint at the moment. Each endpoint takes
/// them from one instance after the other among those that have items of its service waiting: if
/// all of them used a slot that has become free, all but one of their items would be preempted at
/// once. The order follows from the instances' reports and from the time, without messages.
/// Instances whose reports or clocks differ may have the same turn or none; the endpoint then takes
/// a few items too many or too few until the next turn.
///
/// Not thread safe.
class BatchTurns
{
public:
    explicit BatchTurns(std::string instance);

    /// Replaces the numbers of items that wait at a peer, by service. A peer in the same failure
    /// domain competes for the endpoints there, one in another failure domain for the others only.
    void setWaiting(const std::string &peer, const std::map<std::string, std::uint32_t> &items,
                    bool isSameDomain);
    void remove(const std::string &peer);

    /// Whether this instance has the turn with that number at the endpoint of that service. Turns
    /// are numbered through by all instances alike.
    bool hasTurn(const std::string &endpoint, const std::string &service, bool isSameDomain,
                 std::uint64_t turn) const;

private:
    /// Instances, and whether each is in the same failure domain.
    using Instances = std::map<std::string, bool>;

    std::string m_instance;
    /// The peers that have items waiting, by service.
    std::map<std::string, Instances> m_competitors;
};

} // namespace pistachiofall
