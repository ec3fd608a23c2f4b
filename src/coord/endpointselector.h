#pragma once

#include "coord/endpointload.h"
#include "coord/selectionpolicy.h"
#include "coord/selectionrequest.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace pistachiofall {

/// Chooses the endpoint at which a request tries to get a slot. Thread safe.
class EndpointSelector
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// A reported load expires after this time, and the endpoint counts as idle. Without this limit
    /// an endpoint that was last reported busy would never be chosen again while another one is
    /// idle.
    static constexpr std::chrono::seconds LoadLifetime{2};

    /// A reported load older than this is ignored when PrefixAffinity considers the two endpoints
    /// of a prefix. The time is short because moving a conversation loses its cached prefix, while
    /// a refusal costs only a round trip to the owner. With 2 s, busy endpoints were avoided for so
    /// long that prefix affinity gained nothing with two thirds of all slots in use.
    static constexpr std::chrono::milliseconds PrefixLoadLifetime{100};

    EndpointSelector(SelectionPolicy policy, std::uint64_t seed);

    /// Returns the chosen endpoint, or empty if there are no candidates. A candidate that is known
    /// to be full is chosen only if all are, except with RoundRobin, and with PrefixAffinity after
    /// PrefixLoadLifetime.
    std::optional<std::string> choose(const std::vector<std::string> &candidates, TimePoint now,
                                      const SelectionRequest &request = {});

    /// Returns whether all candidates are known to have no free slot for the class. Only then
    /// should a request wait in a queue.
    bool areAllFull(const std::vector<std::string> &candidates, TimePoint now,
                    WorkClass workClass) const;

    /// Returns how long the batch slot that the endpoint would revoke for another waiting online
    /// request has been in use. Empty if no revocable slot is known.
    std::optional<std::chrono::milliseconds> revocableAge(const std::string &endpoint,
                                                          TimePoint now) const;

    /// Stores the load that an owner reported with its answer.
    void setLoad(const std::string &endpoint, const EndpointLoad &load, TimePoint now);

private:
    using Names = std::vector<std::string>;

    struct KnownLoad
    {
        EndpointLoad load;
        TimePoint since;
    };

    const EndpointLoad *knownLoad(const std::string &endpoint, TimePoint now) const;
    double loadOf(const std::string &endpoint, TimePoint now, WorkClass workClass) const;
    bool isKnownFull(const std::string &endpoint, TimePoint now, WorkClass workClass) const;
    Names withoutFull(const Names &candidates, TimePoint now, WorkClass workClass) const;
    std::string lessLoadedOfTwo(const Names &candidates, TimePoint now, WorkClass workClass);
    std::string chooseByPrefix(const PrefixAffinity &policy, const Names &candidates, TimePoint now,
                               const SelectionRequest &request);

    mutable std::mutex m_mutex;
    SelectionPolicy m_policy;
    std::mt19937_64 m_random;
    std::unordered_map<std::string, KnownLoad> m_loads;
};

} // namespace pistachiofall
