#include "fleet/leavingendpoints.h"

#include <algorithm>

namespace pistachiofall {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t MaxEndpoints = 1024;
// Longer than an endpoint goes on after it has announced that it leaves.
constexpr minutes EndpointTtl{30};
// Reports may be lost for some seconds, and an instance that restarts learns from its peers.
constexpr seconds ReportTime{30};
constexpr std::size_t MaxReported = 32;

} // namespace

bool LeavingEndpoints::add(const EndpointIncarnation &endpoint, SteadyTime now)
{
    if (m_added.contains(endpoint))
        return false;
    if (m_added.size() >= MaxEndpoints)
        m_added.erase(std::min_element(
                m_added.begin(), m_added.end(),
                [](const auto &left, const auto &right) { return left.second < right.second; }));
    m_added.emplace(endpoint, now);
    return true;
}

bool LeavingEndpoints::contains(const EndpointIncarnation &endpoint) const
{
    return m_added.contains(endpoint);
}

std::vector<EndpointIncarnation> LeavingEndpoints::recent(SteadyTime now) const
{
    std::vector<std::pair<SteadyTime, EndpointIncarnation>> all;
    for (const auto &[endpoint, added] : m_added) {
        if (now - added < ReportTime)
            all.emplace_back(added, endpoint);
    }
    std::sort(all.rbegin(), all.rend());
    std::vector<EndpointIncarnation> newest;
    for (std::size_t index = 0; index < std::min(all.size(), MaxReported); ++index)
        newest.push_back(std::move(all[index].second));
    return newest;
}

void LeavingEndpoints::removeExpired(SteadyTime now)
{
    std::erase_if(m_added, [now](const auto &each) { return now - each.second > EndpointTtl; });
}

} // namespace pistachiofall
