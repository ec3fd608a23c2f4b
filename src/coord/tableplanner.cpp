#include "coord/tableplanner.h"

#include "base/stablehash.h"
#include "coord/plannerfleet.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pistachiofall {

namespace {

using detail::PlacePreference;
using detail::PlannerFleet;

// A rebalance moves at most a quarter of a holder's places, which are stopped until the write is
// done.
constexpr std::size_t RebalanceFraction = 4;
// One write moves at most an eighth of all places. They stay stopped for UnusedReleaseTimeout if
// the rebalancer ends before the write.
constexpr std::size_t WriteFraction = 8;
constexpr std::size_t MinRebalance = 4;

// A new table under construction, and the fleet with its counts kept up to date. The fleet refers
// to names in the old table and the view, which must outlive this.
struct Draft
{
    const ShardTable *before = nullptr;
    const PlannerView &view;
    PlannerFleet fleet;
    ShardTable table;
    std::set<std::uint32_t> stopShards;

    Draft(const ShardTable *oldTable, const PlannerView &plannerView)
        : before(oldTable)
        , view(plannerView)
        , fleet(plannerView, oldTable)
    {
        if (oldTable != nullptr)
            table = *oldTable;
        ++table.epoch;
    }

    void assign(std::uint32_t shard, std::size_t place, const HolderId &holder, bool takenOver)
    {
        std::string_view former;
        if (before != nullptr)
            former = before->shards[shard][place].holder.instance;
        fleet.move(place, former, holder.instance);
        table.shards[shard][place] = {holder, table.epoch, takenOver};
    }

    // Returns the instance from which the new holder of a place should be separated; empty if the
    // other place is still to be reassigned as well.
    std::string_view otherHolder(std::uint32_t shard, std::size_t place) const
    {
        const ShardPlace &other = table.shards[shard][1 - place];
        const bool isReplaced = other.assignedEpoch == table.epoch;
        const bool isDeparting = fleet.isEnded(other.holder.instance) || isLeaving(other.holder);
        return isDeparting && !isReplaced ? std::string_view{} : other.holder.instance;
    }

    bool isLeaving(const HolderId &holder) const
    {
        return std::ranges::any_of(view.members, [&holder](const PlannerMember &member) {
            return member.leaving && member.id == holder;
        });
    }

    bool isTakeoverPending(std::uint32_t shard) const
    {
        return std::ranges::find(view.pendingTakeovers, shard) != view.pendingTakeovers.end();
    }

    // Hands over a place of this instance. If its takeover is pending, the former holder may still
    // use the place, so the next holder has to wait as well.
    void handOver(std::uint32_t shard, std::size_t place, const HolderId &holder)
    {
        assign(shard, place, holder, isTakeoverPending(shard));
        stopShards.insert(shard);
    }

    // Returns whether the holder of a place may be asked to release it. If the place was taken over
    // by the newest change, the takeover is still pending at its holder. If it was taken over by an
    // earlier change, the holder itself refuses while the takeover is pending.
    bool mayBeReleased(std::uint32_t shard, std::size_t place) const
    {
        const ShardPlace &held = before->shards[shard][place];
        const bool isNew = held.takenOver && held.assignedEpoch == before->epoch;
        if (isNew && view.now < view.tableSince + TakeoverDelay)
            return false;
        return held.holder != view.self || !isTakeoverPending(shard);
    }

    ChangeTable change(TableChangeReason reason)
    {
        return {std::move(table), {stopShards.begin(), stopShards.end()}, reason};
    }
};

std::string rankKey(const ShardTable &table)
{
    return "epoch-" + std::to_string(table.epoch);
}

TablePlan planCreation(const PlannerView &view)
{
    Draft draft(nullptr, view);
    const std::size_t rank =
            PlannerFleet::rank(draft.fleet.eligible(), view.self.instance, "creation");
    // The first delay leaves time to learn of the other members of a new fleet.
    if (view.shardCount == 0 || view.now < view.startedAt + RankDelay * (rank + 1))
        return KeepTable{};
    draft.table.shards.resize(view.shardCount);
    for (std::uint32_t shard = 0; shard < view.shardCount; ++shard) {
        const HolderId &first = draft.fleet.best(shard, FirstPlace, "")->id;
        draft.assign(shard, FirstPlace, first, false);
        const HolderId &second = draft.fleet.best(shard, SecondPlace, first.instance)->id;
        draft.assign(shard, SecondPlace, second, false);
    }
    return CreateTable{std::move(draft.table)};
}

TablePlan planLeaving(const ShardTable &table, const PlannerView &view)
{
    Draft draft(&table, view);
    if (draft.fleet.eligible().empty())
        return KeepTable{};
    for (std::uint32_t shard = 0; shard < table.shards.size(); ++shard) {
        for (std::size_t place = 0; place < PlaceCount; ++place) {
            if (table.shards[shard][place].holder != view.self)
                continue;
            const std::string_view other = draft.otherHolder(shard, place);
            draft.handOver(shard, place, draft.fleet.best(shard, place, other)->id);
        }
    }
    if (draft.stopShards.empty())
        return KeepTable{};
    return draft.change(TableChangeReason::Leaving);
}

// Returns whether it is this member's turn to take over the places of ended instances.
bool mayTakeOver(const ShardTable &table, const PlannerView &view, const PlannerFleet &fleet)
{
    const std::size_t rank =
            PlannerFleet::rank(fleet.eligible(), view.self.instance, rankKey(table));
    return std::ranges::any_of(view.ended, [&](const PlannerEnded &ended) {
        return fleet.isEnded(ended.instance) && view.now >= ended.since + RankDelay * rank
                && (fleet.count(ended.instance, FirstPlace) > 0
                    || fleet.count(ended.instance, SecondPlace) > 0);
    });
}

TablePlan planReplacement(const ShardTable &table, const PlannerView &view)
{
    Draft draft(&table, view);
    // Grants of the former process are due at most MaxGrantWait after its end.
    const bool mayRestart = view.now >= view.startedAt + MaxGrantWait;
    const bool takesOver = mayTakeOver(table, view, draft.fleet);
    std::optional<TableChangeReason> reason;
    for (std::uint32_t shard = 0; shard < table.shards.size(); ++shard) {
        for (std::size_t place = 0; place < PlaceCount; ++place) {
            const ShardPlace &former = table.shards[shard][place];
            if (former.holder.instance == view.self.instance) {
                if (former.holder == view.self || !mayRestart)
                    continue;
                draft.assign(shard, place, view.self, former.takenOver);
                reason = reason.value_or(TableChangeReason::OwnRestart);
            } else if (takesOver && draft.fleet.isEnded(former.holder.instance)) {
                const std::string_view other = draft.otherHolder(shard, place);
                draft.assign(shard, place, draft.fleet.best(shard, place, other)->id, true);
                reason = TableChangeReason::Takeover;
            }
        }
    }
    if (!reason)
        return KeepTable{};
    return draft.change(*reason);
}

// Selects the moves that balance the places and separate the holders of a shard. Rebalancing
// terminates: the first places only become more even, with those unchanged the separation only
// improves, and with that unchanged the second places only become more even.
class MoveSelector
{
public:
    MoveSelector(Draft &draft, PlacePreference preference)
        : m_draft(draft)
        , m_preference(preference)
        , m_fewest(fewestPlaces(draft.fleet))
        , m_bestSeparation(bestSeparation(draft.fleet))
    {
        for (const PlannerMember *member : draft.fleet.eligible())
            m_allowances.emplace(member->id,
                                 std::max(MinRebalance, places(*member) / RebalanceFraction));
    }

    std::vector<PlaceMove> moves()
    {
        std::vector<PlaceMove> chosen;
        const std::size_t count = m_draft.table.shards.size();
        const std::size_t limit = std::max(MinRebalance, count * PlaceCount / WriteFraction);
        for (std::uint32_t shard = 0; shard < count && chosen.size() < limit; ++shard) {
            for (std::size_t place = 0; place < PlaceCount; ++place) {
                if (auto move = moveOf(shard, place)) {
                    chosen.push_back(std::move(*move));
                    break;
                }
            }
        }
        return chosen;
    }

private:
    static std::array<std::size_t, PlaceCount> fewestPlaces(const PlannerFleet &fleet)
    {
        std::array<std::size_t, PlaceCount> fewest{SIZE_MAX, SIZE_MAX};
        for (const PlannerMember *member : fleet.eligible()) {
            for (std::size_t place = 0; place < PlaceCount; ++place)
                fewest[place] = std::min(fewest[place], fleet.count(member->id.instance, place));
        }
        return fewest;
    }

    static int bestSeparation(const PlannerFleet &fleet)
    {
        int best = 0;
        const auto &members = fleet.eligible();
        for (const PlannerMember *member : members) {
            const std::string &first = members.front()->id.instance;
            best = std::max(best, fleet.separation(first, member->id.instance));
        }
        return best;
    }

    std::size_t places(const PlannerMember &member) const
    {
        return m_draft.fleet.count(member.id.instance, FirstPlace)
                + m_draft.fleet.count(member.id.instance, SecondPlace);
    }

    std::optional<PlaceMove> moveOf(std::uint32_t shard, std::size_t place)
    {
        const HolderId currentHolder = m_draft.table.shards[shard][place].holder;
        const auto allowance = m_allowances.find(currentHolder);
        if (allowance == m_allowances.end() || allowance->second == 0
            || !m_draft.mayBeReleased(shard, place))
            return std::nullopt;
        const PlannerMember *newHolder = betterHolder(shard, place);
        if (newHolder == nullptr)
            return std::nullopt;
        --allowance->second;
        m_draft.assign(shard, place, newHolder->id, false);
        return PlaceMove{shard, place, currentHolder, newHolder->id};
    }

    // Excludes most places without the search for a better holder, which compares all members.
    bool mayHaveBetterHolder(const std::string &currentHolder, const std::string &other,
                             std::size_t place) const
    {
        const bool isUneven = m_draft.fleet.count(currentHolder, place) >= m_fewest[place] + 2;
        const bool isClose = m_draft.fleet.separation(currentHolder, other) < m_bestSeparation;
        return isUneven || (place == SecondPlace && isClose);
    }

    // Returns the member that the place should move to, or null if the holder should keep it. With
    // the preference for the fewest places, a first place may move even if this reduces the
    // separation of the holders; the second place of the shard then moves in turn.
    const PlannerMember *betterHolder(std::uint32_t shard, std::size_t place) const
    {
        const PlannerFleet &fleet = m_draft.fleet;
        const std::string &currentHolder = m_draft.table.shards[shard][place].holder.instance;
        const std::string &other = m_draft.table.shards[shard][1 - place].holder.instance;
        if (!mayHaveBetterHolder(currentHolder, other, place))
            return nullptr;
        const PlannerMember *candidate = fleet.best(shard, place, other, m_preference);
        if (candidate == nullptr || candidate->id.instance == currentHolder)
            return nullptr;
        const int separation = fleet.separation(currentHolder, other);
        const int newSeparation = fleet.separation(candidate->id.instance, other);
        const bool separates = place == SecondPlace && newSeparation > separation;
        const bool evensOut =
                fleet.count(currentHolder, place) >= fleet.count(candidate->id.instance, place) + 2;
        const bool maySeparateLess =
                place == FirstPlace && m_preference == PlacePreference::FewestPlaces;
        if (separates || (evensOut && (newSeparation >= separation || maySeparateLess)))
            return candidate;
        return nullptr;
    }

    Draft &m_draft;
    const PlacePreference m_preference;
    const std::array<std::size_t, PlaceCount> m_fewest;
    const int m_bestSeparation;
    // How many places each member may still release.
    std::map<HolderId, std::size_t> m_allowances;
};

// Returns whether it is this member's turn to be the rebalancer. The holders take turns, so that in
// a stable fleet, where the table is old, not all members start when one joins. The order depends
// on the table alone, because in a large fleet each member gets heartbeats from only some of the
// others.
bool isRebalancer(const ShardTable &table, const PlannerView &view, const PlannerFleet &fleet)
{
    const auto holders = fleet.holders();
    if (view.now < view.tableSince + RankDelay
        || std::ranges::find(holders, view.self.instance) == holders.end())
        return false;
    const std::string key = rankKey(table);
    const std::uint64_t own = rendezvousRank(key, view.self.instance);
    const auto rank = std::ranges::count_if(
            holders, [&](std::string_view holder) { return rendezvousRank(key, holder) < own; });
    const auto turn = (view.now - view.tableSince) / RankDelay - 1;
    return turn % std::ssize(holders) == rank;
}

TablePlan planRebalance(const ShardTable &table, const PlannerView &view)
{
    Draft draft(&table, view);
    if (!isRebalancer(table, view, draft.fleet))
        return KeepTable{};
    for (const auto preference : {PlacePreference::Separation, PlacePreference::FewestPlaces}) {
        auto moves = MoveSelector(draft, preference).moves();
        if (!moves.empty())
            return RequestReleases{std::move(moves)};
    }
    return KeepTable{};
}

bool hasUnusedRelease(const PlannerView &view)
{
    return view.releasedAt && view.now >= *view.releasedAt + UnusedReleaseTimeout;
}

} // namespace

TablePlan planTable(const ShardTable *table, const PlannerView &view)
{
    const auto self = std::ranges::find(view.members, view.self, &PlannerMember::id);
    if (self == view.members.end())
        return KeepTable{};
    if (table == nullptr)
        return self->leaving ? TablePlan{KeepTable{}} : planCreation(view);
    if (self->leaving)
        return planLeaving(*table, view);
    TablePlan replacement = planReplacement(*table, view);
    if (!std::holds_alternative<KeepTable>(replacement))
        return replacement;
    if (hasUnusedRelease(view))
        return Draft(table, view).change(TableChangeReason::UnusedRelease);
    return planRebalance(*table, view);
}

} // namespace pistachiofall
