#pragma once

#include "fleet/answertally.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace pistachiofall {

/// The answers of one service during a rollout, as counted by one instance or by several.
struct RolloutTallies
{
    /// The target version beside the other versions, on one route.
    struct Route
    {
        AnswerTally target;
        AnswerTally others;
    };

    /// By the hash of the route's name.
    std::map<std::uint64_t, Route> routes;
    /// The answers of the endpoints of the target version, by the hash of the endpoint's id.
    std::map<std::uint64_t, AnswerTally> targetEndpoints;

    RolloutTallies &operator+=(const RolloutTallies &other);
    /// The sum over all routes.
    Route total() const;
};

/// Judges the time that answers take by the answers of the other versions on the same route. The
/// versions run side by side under the same load, so that a slow moment of the fleet is no evidence
/// against one of them.
class AnswerPace
{
public:
    /// Takes an answer of another version into the mean.
    void recordOther(std::uint64_t route, std::chrono::duration<double> took);
    /// Whether an answer on the route took several times as long as the mean; false while too few
    /// answers of other versions are known.
    bool isSlow(std::uint64_t route, std::chrono::duration<double> took) const;

private:
    struct Mean
    {
        int answers = 0;
        std::chrono::duration<double> value{0};
    };
    std::map<std::uint64_t, Mean> m_means;
};

/// The evidence on one rollout over the whole fleet. Each process counts its own answers from zero
/// and reports its running totals, so that a report which comes twice, late or not at all is not
/// counted twice, and that of a process which has ended stays.
class RolloutEvidence
{
public:
    /// Replaces the totals of a process, unless they are older than those known.
    void set(const std::string &instance, std::uint64_t incarnation, RolloutTallies tallies);
    RolloutTallies sum() const;

private:
    std::map<std::pair<std::string, std::uint64_t>, RolloutTallies> m_processes;
};

} // namespace pistachiofall
