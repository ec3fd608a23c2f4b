#include "fleet/versionroles.h"

#include "base/stablehash.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace pistachiofall {

namespace {

// One endpoint could not tell a fault of its own from one of the version.
constexpr std::size_t MinCanaries = 2;
constexpr std::string_view ShareSalt = "rollout";

// A number from 0 to 1 that depends on the key and not on the choice of an endpoint by the same
// key.
double unitHash(std::string_view key)
{
    constexpr double HashRange = 18446744073709551616.0;
    return static_cast<double>(rendezvousRank(key, ShareSalt)) / HashRange;
}

std::size_t canaryCount(double share, std::size_t targets)
{
    const auto byShare = static_cast<std::size_t>(std::ceil(share * static_cast<double>(targets)));
    return std::min(targets, std::max(MinCanaries, byShare));
}

} // namespace

void VersionRoles::enable(std::chrono::milliseconds newVersionHold)
{
    m_isEnabled = true;
    m_newVersionHold = newVersionHold;
}

void VersionRoles::setSplits(std::map<std::string, VersionSplit> splits)
{
    m_areSplitsKnown = true;
    m_splits = std::move(splits);
}

std::vector<VersionRole> VersionRoles::assign(const std::string &service,
                                              const std::vector<Endpoint> &endpoints,
                                              SteadyTime now)
{
    std::vector<VersionRole> roles;
    if (!m_areSplitsKnown) {
        std::set<std::string_view> versions;
        for (const Endpoint &endpoint : endpoints) {
            versions.insert(endpoint.version);
            m_firstSeen[service].try_emplace(std::string(endpoint.version));
        }
        roles.assign(endpoints.size(),
                     versions.size() > 1 ? VersionRole::Excluded : VersionRole::Unrestricted);
        return roles;
    }
    for (const Endpoint &endpoint : endpoints)
        roles.push_back(roleWithoutSplit(service, endpoint, now));
    const auto split = m_splits.find(service);
    return split == m_splits.end() ? roles
                                   : assignBySplit(split->second, endpoints, std::move(roles));
}

VersionRole VersionRoles::roleWithoutSplit(const std::string &service, const Endpoint &endpoint,
                                           SteadyTime now)
{
    auto &versions = m_firstSeen[service];
    const bool isFirst = versions.empty();
    const auto seen =
            versions.try_emplace(std::string(endpoint.version), isFirst ? SteadyTime{} : now);
    const bool isHeld =
            seen.first->second != SteadyTime{} && now - seen.first->second < m_newVersionHold;
    return isHeld ? VersionRole::Excluded : VersionRole::Unrestricted;
}

std::vector<VersionRole> VersionRoles::assignBySplit(const VersionSplit &split,
                                                     const std::vector<Endpoint> &endpoints,
                                                     std::vector<VersionRole> roles) const
{
    std::vector<std::pair<std::uint64_t, std::size_t>> targets;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        if (endpoints[index].version == split.version)
            targets.emplace_back(stableHash(endpoints[index].id), index);
    }
    if (split.phase == RolloutPhase::Complete && targets.empty())
        return roles;
    const bool isMoved = split.phase == RolloutPhase::Complete
            || (split.phase == RolloutPhase::Running && split.share >= 1);
    const VersionRole others =
            split.phase == RolloutPhase::Complete ? VersionRole::Excluded : VersionRole::Former;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        if (endpoints[index].version == split.version)
            roles[index] = isMoved ? VersionRole::Unrestricted : VersionRole::Excluded;
        else if (isMoved)
            roles[index] = others;
    }
    if (isMoved || split.phase == RolloutPhase::RolledBack || split.share <= 0)
        return roles;
    std::sort(targets.begin(), targets.end());
    const std::size_t count = canaryCount(split.share, targets.size());
    for (std::size_t position = 0; position < count; ++position)
        roles[targets[position].second] = VersionRole::Canary;
    return roles;
}

std::vector<VersionRole> VersionRoles::preferences(const std::string &service, std::string_view key,
                                                   bool isSentAgain) const
{
    const auto split = m_splits.find(service);
    if (split == m_splits.end() || split->second.phase != RolloutPhase::Running)
        return {VersionRole::Unrestricted};
    if (split->second.share >= 1)
        return {VersionRole::Unrestricted, VersionRole::Former};
    if (!isSentAgain && unitHash(key) < split->second.share)
        return {VersionRole::Canary, VersionRole::Unrestricted};
    return {VersionRole::Unrestricted};
}

} // namespace pistachiofall
