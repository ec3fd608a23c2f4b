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
    /// The latest start at which the request still meets its latency objective.
    SteadyTime startBy{};
    /// The time at which its caller gives up.
    SteadyTime deadline{};
    /// Whether its organisation takes more than its share of the room.
    bool isOverShare = false;
};

/// The requests of this instance that wait for a slot, by service. Requests that can still meet
/// their latency objective come first, those of organisations within their shares before others,
/// ordered by priority and then by the earliest required start.
/// Requests that can no longer meet it follow in the same order.
///
/// Not thread safe.
class RequestQueue
{
public:
    void add(const WaitingRequest &request);
    /// Does nothing for an unknown id.
    void remove(std::uint64_t id);

    /// Returns the queued requests of the service in the order in which they get slots.
    std::vector<WaitingRequest> ordered(const std::string &service, SteadyTime now) const;
    /// Returns the number of queued requests by service. Services without any are left out.
    std::map<std::string, int> counts() const;
    int count(const std::string &service) const;
    /// The number of those whose organisations take more than their shares.
    int countOverShare(const std::string &service) const;
    std::vector<std::string> services() const;

private:
    std::map<std::string, std::map<std::uint64_t, WaitingRequest>> m_waiting;
};

} // namespace pistachiofall
