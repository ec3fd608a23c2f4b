#pragma once

#include "coord/plannerview.h"
#include "coord/shardtable.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pistachiofall::detail {

/// The first criterion by which a member is chosen for a place.
enum class PlacePreference { Separation, FewestPlaces };

/// The members that may get places, and the number of first and second places that each instance
/// holds. Refers to the view that it is made from, which must outlive it.
class PlannerFleet
{
public:
    PlannerFleet(const PlannerView &view, const ShardTable *table);

    /// Returns the members that are neither leaving nor ended.
    const std::vector<const PlannerMember *> &eligible() const { return m_eligible; }

    /// Returns whether the instance has ended. An instance never counts itself as ended.
    bool isEnded(std::string_view instance) const;

    /// Returns the instances that hold places and have not ended. They are known from the table, so
    /// members agree on them even if they do not know of each other.
    std::vector<std::string_view> holders() const;

    std::size_t count(std::string_view instance, std::size_t place) const;

    /// Returns how well two holders of a shard are separated: 0 for the same instance, 1 for the
    /// same failure domain, 2 otherwise. An instance that is not a member counts as the only one in
    /// its domain.
    int separation(std::string_view instance, std::string_view other) const;

    /// Returns the eligible member that is best separated from the other holder (empty: none) and
    /// has the fewest first or second places, whichever place is given; the preference decides
    /// which criterion comes first. Null if no member is eligible.
    const PlannerMember *best(std::uint32_t shard, std::size_t place, std::string_view other,
                              PlacePreference preference = PlacePreference::Separation) const;

    /// Updates the counts for the move of a place; an empty from stands for no former holder.
    void move(std::size_t place, std::string_view from, std::string_view to);

    /// Returns the position of the instance among the given members in the rendezvous order of the
    /// key.
    static std::size_t rank(const std::vector<const PlannerMember *> &members,
                            std::string_view instance, std::string_view key);

private:
    std::vector<const PlannerMember *> m_eligible;
    std::unordered_set<std::string_view> m_ended;
    std::unordered_map<std::string_view, std::string_view> m_domains;
    std::unordered_map<std::string_view, std::array<std::size_t, PlaceCount>> m_counts;
};

} // namespace pistachiofall::detail
