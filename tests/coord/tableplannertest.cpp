#include "coord/tableplanner.h"

#include "base/manualclock.h"
#include "coord/placerelease.h"

#include <algorithm>
#include <map>
#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using namespace std::chrono_literals;

namespace {

std::vector<PlannerMember> makeMembers(int count, int domains, int from = 0)
{
    std::vector<PlannerMember> members;
    for (int index = from; index < from + count; ++index) {
        members.push_back({{"i" + std::to_string(index), 1},
                           "domain-" + std::to_string(index % domains),
                           false});
    }
    return members;
}

std::map<std::string, std::array<int, PlaceCount>> counts(const ShardTable &table)
{
    std::map<std::string, std::array<int, PlaceCount>> found;
    for (const Shard &shard : table.shards) {
        for (std::size_t place = 0; place < PlaceCount; ++place)
            ++found[shard[place].holder.instance][place];
    }
    return found;
}

int holds(const ShardTable &table, const std::string &instance)
{
    const auto places = counts(table)[instance];
    return places[FirstPlace] + places[SecondPlace];
}

} // namespace

TEST_GROUP(TablePlanner)
{
    const SteadyTime start = ManualClock().now();
    PlannerView view;
    ShardTable table;

    void setup() override
    {
        view.startedAt = view.tableSince = start;
        view.now = start + 1000s;
        view.shardCount = 64;
    }

    TablePlan planAs(const HolderId &self)
    {
        view.self = self;
        return planTable(table.shards.empty() ? nullptr : &table, view);
    }

    // Returns the change that the instance plans; fails the test if there is none.
    ChangeTable changeAs(const HolderId &self)
    {
        const TablePlan plan = planAs(self);
        const auto *change = std::get_if<ChangeTable>(&plan);
        CHECK(change != nullptr);
        return change == nullptr ? ChangeTable{} : *change;
    }

    bool keepsAs(const HolderId &self)
    {
        return std::holds_alternative<KeepTable>(planAs(self));
    }

    void create()
    {
        table = std::get<CreateTable>(planAs(view.members.front().id)).table;
    }

    // Lets all members plan in turn until none of them plans a change, and returns the number of
    // writes; -1 if there is no end to the changes.
    int planUntilStable()
    {
        constexpr int MaxWrites = 400;
        for (int writes = 0; writes < MaxWrites;) {
            const int before = writes;
            for (std::size_t turn = 0; turn < view.members.size(); ++turn) {
                view.now += RankDelay;
                writes += planAll();
            }
            if (writes == before)
                return writes;
        }
        return -1;
    }

    // Lets each member plan once and returns the number of writes. All requested releases are
    // agreed to.
    int planAll()
    {
        int writes = 0;
        for (const PlannerMember &member : view.members) {
            const TablePlan plan = planAs(member.id);
            if (const auto *change = std::get_if<ChangeTable>(&plan)) {
                table = change->table;
                ++writes;
            } else if (const auto *request = std::get_if<RequestReleases>(&plan)) {
                table = tableWithMoves(table, request->moves);
                ++writes;
            }
        }
        return writes;
    }

    // Returns the moves that the members request now, one entry per rebalancer.
    std::vector<std::vector<PlaceMove>> requestedMoves()
    {
        std::vector<std::vector<PlaceMove>> found;
        for (const PlannerMember &member : view.members) {
            const TablePlan plan = planAs(member.id);
            if (const auto *request = std::get_if<RequestReleases>(&plan))
                found.push_back(request->moves);
        }
        return found;
    }

    // Returns the moves of the rebalancer whose turn it is now, at most one per shard.
    std::map<std::uint32_t, PlaceMove> onlyRequestedMoves()
    {
        const auto found = requestedMoves();
        CHECK_EQUAL(1U, found.size());
        std::map<std::uint32_t, PlaceMove> moves;
        if (found.empty())
            return moves;
        for (const PlaceMove &move : found.front())
            CHECK(moves.emplace(move.shard, move).second);
        return moves;
    }

    bool isSeparated() const
    {
        std::map<std::string, std::string> domains;
        for (const PlannerMember &member : view.members)
            domains[member.id.instance] = member.failureDomain;
        return std::ranges::all_of(table.shards, [&domains](const Shard &shard) {
            return domains[shard[0].holder.instance] != domains[shard[1].holder.instance];
        });
    }

    // Returns the largest difference between two members in the number of first or second places.
    int spread(std::size_t place) const
    {
        auto found = counts(table);
        int least = 1'000'000;
        int most = 0;
        for (const PlannerMember &member : view.members) {
            least = std::min(least, found[member.id.instance][place]);
            most = std::max(most, found[member.id.instance][place]);
        }
        return most - least;
    }
};

TEST(TablePlanner, CreatesABalancedAndSeparatedTable)
{
    view.members = makeMembers(9, 3);
    create();
    CHECK_EQUAL(1U, table.epoch);
    CHECK_EQUAL(64U, table.shards.size());
    CHECK(isSeparated());
    CHECK(spread(FirstPlace) <= 1);
    CHECK(spread(SecondPlace) <= 2);
}

// Guards against a new fleet whose first instance gets all shards, because it does not wait until
// it knows the others, and against all members writing at once.
TEST(TablePlanner, CreationWaitsForTheRank)
{
    view.members = makeMembers(3, 3);
    int creators = 0;
    view.now = start + RankDelay;
    for (const PlannerMember &member : view.members)
        creators += keepsAs(member.id) ? 0 : 1;
    CHECK_EQUAL(1, creators);
    view.now = start + RankDelay - 1ms;
    for (const PlannerMember &member : view.members)
        CHECK(keepsAs(member.id));
}

// Guards against a fleet of one instance that serves nothing, and against one whose places are not
// spread when another instance joins.
TEST(TablePlanner, OneMemberHoldsBothPlacesUntilAnotherComes)
{
    view.members = makeMembers(1, 1);
    create();
    CHECK_EQUAL(128, holds(table, "i0"));
    CHECK(keepsAs({"i0", 1}));
    view.members = makeMembers(2, 2);
    CHECK(planUntilStable() > 1);
    CHECK(isSeparated());
    CHECK_EQUAL(64, holds(table, "i0"));
}

TEST(TablePlanner, LeavingMemberHandsOverAllItsPlacesAndStopsThemFirst)
{
    view.members = makeMembers(6, 3);
    create();
    view.members[2].leaving = true;
    const int held = holds(table, "i2");
    const ChangeTable change = changeAs({"i2", 1});
    CHECK(change.reason == TableChangeReason::Leaving);
    CHECK_EQUAL(held, static_cast<int>(change.stopShards.size()));
    CHECK_EQUAL(0, holds(change.table, "i2"));
    CHECK_EQUAL(table.epoch + 1, change.table.epoch);
    for (std::size_t index = 0; index < table.shards.size(); ++index) {
        for (std::size_t place = 0; place < PlaceCount; ++place) {
            const bool moved = table.shards[index][place].holder.instance == "i2";
            CHECK(moved || change.table.shards[index][place] == table.shards[index][place]);
            CHECK(!moved || change.table.shards[index][place].assignedEpoch == table.epoch + 1);
            CHECK_FALSE(change.table.shards[index][place].takenOver);
        }
    }
    table = change.table;
    CHECK(isSeparated());
    CHECK(keepsAs({"i2", 1}));
}

// Guards against a shard that is handed over as released while its former holder may still grant.
TEST(TablePlanner, PendingTakeoversStayMarkedWhenTheyAreHandedOver)
{
    view.members = makeMembers(3, 3);
    create();
    const std::uint32_t shard = holdingsOf(table, {"i0", 1})[FirstPlace].front();
    view.pendingTakeovers = {shard};
    view.members[0].leaving = true;
    CHECK(changeAs({"i0", 1}).table.shards[shard][FirstPlace].takenOver);
    view.members = makeMembers(12, 3);
    view.pendingTakeovers.clear();
    for (std::uint32_t index = 0; index < table.shards.size(); ++index)
        view.pendingTakeovers.push_back(index);
    std::size_t moves = 0;
    for (int turn = 0; turn < 12; ++turn, view.now += RankDelay) {
        const TablePlan plan = planAs({"i0", 1});
        const auto *request = std::get_if<RequestReleases>(&plan);
        for (const PlaceMove &move : request ? request->moves : std::vector<PlaceMove>{}) {
            CHECK(move.currentHolder.instance != "i0");
            ++moves;
        }
    }
    CHECK(moves > 0);
}

TEST(TablePlanner, LastMemberThatLeavesKeepsItsPlaces)
{
    view.members = makeMembers(1, 1);
    create();
    view.members[0].leaving = true;
    CHECK(keepsAs({"i0", 1}));
}

// Guards against a restarted process that grants before the last grants of the former process are
// due, and against one that drops the takeover mark of its place.
TEST(TablePlanner, RestartedProcessReplacesItsOwnPlaces)
{
    view.members = makeMembers(3, 3);
    create();
    const std::uint32_t shard = holdingsOf(table, {"i1", 1})[SecondPlace].front();
    table.shards[shard][SecondPlace].takenOver = true;
    const int held = holds(table, "i1");
    view.members[1].id.incarnation = 9;
    view.startedAt = view.now - MaxGrantWait + 1ms;
    CHECK(keepsAs({"i1", 9}));
    view.now += 1ms;
    const ChangeTable change = changeAs({"i1", 9});
    CHECK(change.reason == TableChangeReason::OwnRestart);
    CHECK(change.stopShards.empty());
    const Holdings now = holdingsOf(change.table, {"i1", 9});
    CHECK_EQUAL(held, static_cast<int>(now[0].size() + now[1].size()));
    CHECK(change.table.shards[shard][SecondPlace].takenOver);
    CHECK(keepsAs({"i2", 1}));
}

// Guards against racing writers, and against shards that are not taken over because the first
// member in rank is partitioned.
TEST(TablePlanner, TakeoverGoesByRank)
{
    view.members = makeMembers(4, 2, 1);
    std::vector<PlannerMember> all = makeMembers(5, 2);
    std::swap(view.members, all);
    create();
    std::swap(view.members, all);
    view.ended = {{"i0", start + 1000s}};
    view.tableSince = start + 1000s;
    for (int rank = 0; rank < 4; ++rank) {
        view.now = start + 1000s + rank * RankDelay;
        int writers = 0;
        for (const PlannerMember &member : view.members) {
            const TablePlan plan = planAs(member.id);
            const auto *change = std::get_if<ChangeTable>(&plan);
            if (change == nullptr || change->reason != TableChangeReason::Takeover)
                continue;
            ++writers;
            CHECK(change->stopShards.empty());
            CHECK_EQUAL(0, holds(change->table, "i0"));
            for (std::size_t index = 0; index < table.shards.size(); ++index) {
                for (std::size_t place = 0; place < PlaceCount; ++place) {
                    const bool moved = table.shards[index][place].holder.instance == "i0";
                    CHECK_EQUAL(moved, change->table.shards[index][place].takenOver);
                }
            }
        }
        CHECK_EQUAL(rank + 1, writers);
    }
}

// Guards against an instance that takes over its own places, and against an ended instance that
// gets places.
TEST(TablePlanner, EndedMembersGetNothingAndSelfIsNeverEnded)
{
    view.members = makeMembers(3, 3);
    create();
    view.members[0].leaving = true;
    view.ended = {{"i1", start}, {"i0", start}};
    const ChangeTable change = changeAs({"i0", 1});
    CHECK_EQUAL(0, holds(change.table, "i0"));
    CHECK_EQUAL(holds(table, "i1"), holds(change.table, "i1"));
    view.members[0].leaving = false;
    view.ended = {{"i0", start}};
    CHECK(keepsAs({"i0", 1}));
}

// Guards against a rebalance that stops too many shards at once, stops both holders of a shard or
// starts right after a change of the table, and against one write per holder.
TEST(TablePlanner, RebalanceMovesAFewPlacesOfSeveralHolders)
{
    view.members = makeMembers(4, 2);
    create();
    view.members = makeMembers(12, 2);
    view.tableSince = view.now - RankDelay + 1ms;
    CHECK(requestedMoves().empty());
    view.tableSince = start;
    std::map<std::string, int> released;
    const auto moves = onlyRequestedMoves();
    for (const auto &[shard, move] : moves) {
        ++released[move.currentHolder.instance];
        CHECK(table.shards[shard][move.place].holder == move.currentHolder);
        CHECK(holds(table, move.newHolder.instance) == 0);
    }
    CHECK_EQUAL(16U, moves.size());
    CHECK(released.size() >= 2);
    for (const auto &[releaser, count] : released)
        CHECK(count <= holds(table, releaser) / 4);
}

// Guards against a stable fleet in which all members rebalance at once when one joins, and against
// one that stops rebalancing because the first rebalancer is partitioned. The turns do not depend
// on the members that each one knows.
TEST(TablePlanner, RebalancersTakeTurns)
{
    view.members = makeMembers(4, 2);
    create();
    view.members = makeMembers(8, 2);
    std::map<std::string, int> turns;
    for (int turn = 0; turn < 8; ++turn, view.now += RankDelay) {
        for (const PlannerMember &member : view.members)
            turns[member.id.instance] += keepsAs(member.id) ? 0 : 1;
    }
    const auto all = view.members;
    view.members = {all[0], all[4]};
    const HolderId known = all[0].id;
    std::vector<int> turnsOfKnown;
    for (int turn = 0; turn < 4; ++turn, view.now += RankDelay)
        turnsOfKnown.push_back(keepsAs(known) ? 0 : 1);
    CHECK_EQUAL(1, std::ranges::count(turnsOfKnown, 1));
    view.members = all;
    for (const PlannerMember &member : view.members)
        CHECK_EQUAL(holds(table, member.id.instance) > 0 ? 2 : 0, turns[member.id.instance]);
}

// Guards against a move, as a released place, of a place that was just taken over from a holder
// that may still grant.
TEST(TablePlanner, NewlyTakenOverPlacesAreNotRequested)
{
    view.members = makeMembers(2, 2);
    create();
    view.members = makeMembers(8, 2);
    for (Shard &shard : table.shards)
        shard[FirstPlace].takenOver = true;
    view.tableSince = view.now - RankDelay;
    for (const auto &[shard, move] : onlyRequestedMoves())
        CHECK_EQUAL(SecondPlace, move.place);
    view.now = view.tableSince + 4 * RankDelay;
    bool isFirstMoved = false;
    for (const auto &[shard, move] : onlyRequestedMoves())
        isFirstMoved |= move.place == FirstPlace;
    CHECK(isFirstMoved);
}

// Guards against places that stay stopped when a rebalancer ends before its write, and against
// holders that race with its write.
TEST(TablePlanner, UnusedReleaseEndsWithTheNextEpoch)
{
    view.members = makeMembers(3, 3);
    create();
    view.releasedAt = view.now - UnusedReleaseTimeout + 1ms;
    CHECK(keepsAs({"i1", 1}));
    view.now += 1ms;
    const ChangeTable change = changeAs({"i1", 1});
    CHECK(change.reason == TableChangeReason::UnusedRelease);
    CHECK(change.stopShards.empty());
    CHECK_EQUAL(table.epoch + 1, change.table.epoch);
    CHECK(change.table.shards == table.shards);
}

// Guards against places that move back and forth forever, in fleets of various sizes and numbers of
// failure domains.
TEST(TablePlanner, RebalanceConvergesToSeparatedAndEvenPlaces)
{
    CHECK(rc::check("rebalance", [this] {
        const int before = *rc::gen::inRange(1, 8);
        const int after = *rc::gen::inRange(2, 14);
        const int domains = *rc::gen::inRange(2, 5);
        table = {};
        view.members = makeMembers(before, domains);
        create();
        view.members = makeMembers(after, domains);
        for (int index = after; index < before; ++index)
            view.ended.push_back({"i" + std::to_string(index), start});
        RC_ASSERT(planUntilStable() >= 0);
        view.ended.clear();
        RC_ASSERT(after < domains || isSeparated());
        RC_ASSERT(spread(FirstPlace) <= 1);
        // With failure domains of different sizes, separation makes the second places uneven.
        if (after % domains == 0)
            RC_ASSERT(spread(SecondPlace) <= 2);
    }));
}
