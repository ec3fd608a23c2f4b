#include "fleet/fairshare.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pistachiofall {

namespace {

// The part of the present use that could be served without the excess of some: room is short by
// about as much.
constexpr double ServedPart = 0.85;
// Organisations differ in how evenly they send.
constexpr double ClearExcess = 1.3;
// Below this part of its limit, an organisation does not crowd others out.
constexpr double MinLevel = 0.4;

// The level to which all organisations are served if the room is divided in proportion to their
// limits and nobody gets more than it uses (water-filling).
double fairLevel(std::vector<OrganisationUse> uses, double room)
{
    std::sort(uses.begin(), uses.end(), [](const auto &left, const auto &right) {
        return left.used * right.allowed < right.used * left.allowed;
    });
    double allowed = 0;
    for (const OrganisationUse &use : uses)
        allowed += use.allowed;
    double level = 0;
    for (const OrganisationUse &use : uses) {
        if (allowed <= 0)
            break;
        level = room / allowed;
        if (use.used > level * use.allowed)
            return level;
        room -= use.used;
        allowed -= use.allowed;
    }
    return level;
}

} // namespace

void FairShare::update(const std::map<std::string, OrganisationUse> &uses, SteadyTime now)
{
    m_updated = now;
    m_levels.clear();
    std::vector<OrganisationUse> limited;
    double total = 0;
    for (const auto &[organisation, use] : uses) {
        if (use.allowed <= 0)
            continue;
        limited.push_back(use);
        total += use.used;
        m_levels[organisation] = use.used / use.allowed;
    }
    m_fairLevel = fairLevel(std::move(limited), total * ServedPart);
}

bool FairShare::isOverShare(const std::string &organisation) const
{
    const auto found = m_levels.find(organisation);
    return found != m_levels.end() && found->second > std::max(MinLevel, m_fairLevel * ClearExcess);
}

} // namespace pistachiofall
