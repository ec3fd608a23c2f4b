#include "coord/plannerfleet.h"

#include "base/stablehash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace pistachiofall::detail {

PlannerFleet::PlannerFleet(const PlannerView &view, const ShardTable *table)
{
    for (const PlannerEnded &ended : view.ended) {
        if (ended.instance != view.self.instance)
            m_ended.insert(ended.instance);
    }
    for (const PlannerMember &member : view.members) {
        m_domains[member.id.instance] = member.failureDomain;
        if (!member.leaving && !isEnded(member.id.instance))
            m_eligible.push_back(&member);
    }
    if (table == nullptr)
        return;
    for (const Shard &shard : table->shards) {
        for (std::size_t place = 0; place < PlaceCount; ++place)
            ++m_counts[shard[place].holder.instance][place];
    }
}

bool PlannerFleet::isEnded(std::string_view instance) const
{
    return m_ended.contains(instance);
}

std::vector<std::string_view> PlannerFleet::holders() const
{
    std::vector<std::string_view> found;
    for (const auto &[instance, places] : m_counts) {
        if (places[FirstPlace] + places[SecondPlace] > 0 && !isEnded(instance))
            found.push_back(instance);
    }
    return found;
}

std::size_t PlannerFleet::count(std::string_view instance, std::size_t place) const
{
    const auto position = m_counts.find(instance);
    return position == m_counts.end() ? 0 : position->second[place];
}

int PlannerFleet::separation(std::string_view instance, std::string_view other) const
{
    if (instance == other)
        return 0;
    const auto domain = m_domains.find(instance);
    const auto otherDomain = m_domains.find(other);
    if (domain == m_domains.end() || otherDomain == m_domains.end())
        return 2;
    return domain->second == otherDomain->second ? 1 : 2;
}

const PlannerMember *PlannerFleet::best(std::uint32_t shard, std::size_t place,
                                        std::string_view other, PlacePreference preference) const
{
    using Cost = std::pair<std::size_t, std::size_t>;
    const std::string key = "shard-" + std::to_string(shard);
    const PlannerMember *best = nullptr;
    Cost lowest;
    for (const PlannerMember *member : m_eligible) {
        const std::string &name = member->id.instance;
        Cost cost{static_cast<std::size_t>(2 - separation(name, other)), count(name, place)};
        if (preference == PlacePreference::FewestPlaces)
            std::swap(cost.first, cost.second);
        const bool isBetter = best == nullptr || cost < lowest
                || (cost == lowest
                    && rendezvousRank(key, name) < rendezvousRank(key, best->id.instance));
        if (!isBetter)
            continue;
        best = member;
        lowest = cost;
    }
    return best;
}

void PlannerFleet::move(std::size_t place, std::string_view from, std::string_view to)
{
    if (!from.empty())
        --m_counts[from][place];
    ++m_counts[to][place];
}

std::size_t PlannerFleet::rank(const std::vector<const PlannerMember *> &members,
                               std::string_view instance, std::string_view key)
{
    const std::uint64_t own = rendezvousRank(key, instance);
    return static_cast<std::size_t>(
            std::ranges::count_if(members, [&](const PlannerMember *member) {
                return rendezvousRank(key, member->id.instance) < own;
            }));
}

} // namespace pistachiofall::detail
