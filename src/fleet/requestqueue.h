#pragma once

#include "coord/coordtimes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pistachiofall {

/// A request that waits for a slot.
struct WaitingRequest
{
    std::uint64_t id = 0;
    std::string service;
    /// 0 is the most urgent.
    int priority = 0;
    /// Until when it has to start for its latency objective.
    SteadyTime startBy{};
    /// When its caller gives up.
    SteadyTime deadline{};
};

/// The requests of this instance that wait for a slot, apart by service. Those that can still meet
/// their objective go first, by priority and then by the time that is left; those that can not
/// anymore get what is left over, in the same order.
///
/// Not thread safe.
class RequestQueue
{
public:
    void add(const WaitingRequest &request);
    /// Does nothing for an unknown id.
    void remove(std::uint64_t id);

    /// The requests of the service in the order in which they get slots.
    std::vector<WaitingRequest> ordered(const std::string &service, SteadyTime now) const;
    /// How many requests wait for each service; services without any are left out.
    std::map<std::string, int> counts() const;
    int count(const std::string &service) const;
    std::vector<std::string> services() const;

private:
    std::map<std::string, std::map<std::uint64_t, WaitingRequest>> m_waiting;
};

} // namespace pistachiofall
