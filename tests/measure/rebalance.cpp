#include "base/manualclock.h"
#include "coord/placerelease.h"
#include "coord/tableplanner.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

// Measures how many changes of the shard table and how many seconds it takes until every shard has
// two live holders and the places are even after the 30 instances of one failure domain have left a
// fleet of 410 within a second, and after they have come back. Every instance plans
// once a second, at its own moment, with the table that is stored then, which all know at once. A
// write takes as long as the last grants of the shards that it stops. A time of -1 means that the
// state was not reached. Arguments: the seconds to follow after the return; how many other members
// an instance knows when it plans (all by default; heartbeats bring about 24 at 410 instances); how
// many percent of the givers do not answer a collector (none by default).

namespace {

using namespace pistachiofall;
using namespace std::chrono_literals;

constexpr std::size_t InstanceCount = 410;
constexpr std::size_t DomainCount = 14;
constexpr std::size_t ShardCount = 1024;
constexpr std::size_t GoneDomain = 3;
// The list drops them about 2 s after they end.
constexpr auto ListLag = 2s;
constexpr auto LeaveDuration = 30s;
// A read of the store, the request to the givers, their last grants and the write.
constexpr auto CollectTime = 30ms + MaxGrantWait;

struct Knowledge
{
    std::size_t peers = InstanceCount;
    unsigned silentPercent = 0;
};

struct Fleet
{
    std::vector<PlannerMember> members;
    std::vector<PlannerEnded> ended;
    std::vector<SteadyTime> startedAt;
    ShardTable table;
    SteadyTime tableSince;
};

struct Pending
{
    std::uint64_t baseEpoch = 0;
    ShardTable table;
    SteadyTime at;
    std::size_t writer = 0;
};

struct Spread
{
    double least = 0;
    double most = 0;

    bool isWithin(double factor) const { return least * factor >= 1 && most <= factor; }
};

// The fewest and most places of a member as a multiple of the mean; empty while a shard has a
// holder that is not a member, or one holder for both places.
std::optional<Spread> spreadOf(const Fleet &fleet)
{
    std::map<std::string, std::size_t> counts;
    for (const PlannerMember &member : fleet.members)
        counts[member.id.instance] = 0;
    for (const Shard &shard : fleet.table.shards) {
        if (shard[0].holder == shard[1].holder)
            return std::nullopt;
        for (const ShardPlace &place : shard) {
            const auto position = counts.find(place.holder.instance);
            if (position == counts.end())
                return std::nullopt;
            ++position->second;
        }
    }
    const auto [least, most] =
            std::ranges::minmax_element(counts, {}, [](const auto &c) { return c.second; });
    const double mean = 2.0 * ShardCount / static_cast<double>(counts.size());
    return Spread{static_cast<double>(least->second) / mean,
                  static_cast<double>(most->second) / mean};
}

std::size_t movedPlaces(const ShardTable &before, const ShardTable &after)
{
    std::size_t moved = 0;
    for (std::size_t shard = 0; shard < before.shards.size(); ++shard) {
        for (std::size_t place = 0; place < PlaceCount; ++place)
            moved += before.shards[shard][place].holder != after.shards[shard][place].holder;
    }
    return moved;
}

// The member itself and others at random.
std::vector<PlannerMember> knownMembers(const Fleet &fleet, std::size_t index, std::size_t peers,
                                        std::mt19937_64 &random)
{
    if (peers >= fleet.members.size())
        return fleet.members;
    std::vector<PlannerMember> known;
    std::ranges::sample(fleet.members, std::back_inserter(known),
                        static_cast<std::ptrdiff_t>(peers), random);
    if (std::ranges::find(known, fleet.members[index].id, &PlannerMember::id) == known.end())
        known.push_back(fleet.members[index]);
    return known;
}

std::vector<PlaceMove> answeredMoves(std::vector<PlaceMove> moves, unsigned silentPercent,
                                     std::mt19937_64 &random)
{
    std::map<HolderId, bool> answers;
    for (const PlaceMove &move : moves)
        answers.emplace(move.currentHolder, random() % 100 >= silentPercent);
    std::erase_if(moves,
                  [&answers](const PlaceMove &move) { return !answers[move.currentHolder]; });
    return moves;
}

void run(Fleet &fleet, const char *name, SteadyTime start, std::chrono::seconds duration,
         const Knowledge &knowledge)
{
    std::mt19937_64 random(1);
    std::vector<Pending> pending;
    int writes = 0;
    int conflicts = 0;
    std::size_t moved = 0;
    SteadyTime last = start;
    std::optional<SteadyTime> restoredAt;
    std::optional<SteadyTime> evenAt;
    int writesUntilEven = 0;
    const auto note = [&](SteadyTime now) {
        const auto spread = spreadOf(fleet);
        if (spread && !restoredAt)
            restoredAt = now;
        if (spread && spread->isWithin(1.3) && !evenAt) {
            evenAt = now;
            writesUntilEven = writes;
        }
    };
    const std::size_t count = fleet.members.size();
    const std::chrono::microseconds turn{1'000'000 / count};
    for (auto now = start; now < start + duration; now += turn) {
        std::erase_if(pending, [&](Pending &write) {
            if (write.at > now)
                return false;
            if (write.baseEpoch != fleet.table.epoch) {
                ++conflicts;
                return true;
            }
            moved += movedPlaces(fleet.table, write.table);
            fleet.table = std::move(write.table);
            fleet.tableSince = now;
            last = now;
            ++writes;
            note(now);
            return true;
        });
        const auto ticks = static_cast<std::size_t>((now - start) / turn);
        const std::size_t index = ticks % count;
        if (std::ranges::find(pending, index, &Pending::writer) != pending.end())
            continue;
        PlannerView view;
        view.self = fleet.members[index].id;
        view.members = knownMembers(fleet, index, knowledge.peers, random);
        view.ended = fleet.ended;
        view.startedAt = fleet.startedAt[index];
        view.tableSince = fleet.tableSince;
        view.now = now;
        TablePlan plan = planTable(&fleet.table, view);
        if (auto *change = std::get_if<ChangeTable>(&plan)) {
            const auto wait = change->stopShards.empty() ? 10ms : 10ms + MaxGrantWait;
            pending.push_back({fleet.table.epoch, std::move(change->table), now + wait, index});
        } else if (auto *collection = std::get_if<RequestReleases>(&plan)) {
            const auto moves =
                    answeredMoves(std::move(collection->moves), knowledge.silentPercent, random);
            const bool isComplete = knowledge.silentPercent == 0;
            pending.push_back({fleet.table.epoch, tableWithMoves(fleet.table, moves),
                               now + (isComplete ? CollectTime : ReleaseTimeout + 20ms), index});
        }
    }
    const auto seconds = [start](const std::optional<SteadyTime> &time) {
        return time ? std::chrono::duration<double>(*time - start).count() : -1.0;
    };
    std::printf("%s: live holders after %.1f s, within 1.3 of the mean after %.1f s and %d writes; "
                "in all %d writes, %d conflicts, %zu places moved, last after %.1f s; %.2f to "
                "%.2f of the mean\n",
                name, seconds(restoredAt), seconds(evenAt), writesUntilEven, writes, conflicts,
                moved, seconds(last), spreadOf(fleet).value_or(Spread{}).least,
                spreadOf(fleet).value_or(Spread{}).most);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    const std::chrono::seconds duration{argc > 1 ? std::atoi(argv[1]) : 300};
    Knowledge knowledge;
    if (argc > 2)
        knowledge.peers = static_cast<std::size_t>(std::atoi(argv[2]));
    if (argc > 3)
        knowledge.silentPercent = static_cast<unsigned>(std::atoi(argv[3]));
    const SteadyTime start = ManualClock().now() + 1h;
    Fleet fleet;
    for (std::size_t index = 0; index < InstanceCount; ++index) {
        fleet.members.push_back({{"entry-" + std::to_string(index), 1},
                                 "domain-" + std::to_string(index % DomainCount)});
        fleet.startedAt.push_back(start - 1h);
    }
    PlannerView view;
    view.self = fleet.members.front().id;
    view.members = fleet.members;
    view.shardCount = ShardCount;
    view.startedAt = start - 1h;
    view.now = start;
    fleet.table = std::get<CreateTable>(planTable(nullptr, view)).table;
    fleet.tableSince = start - 1h;

    const Fleet whole = fleet;
    std::erase_if(fleet.members, [&fleet, start](const PlannerMember &member) {
        const bool isGone = member.failureDomain == "domain-" + std::to_string(GoneDomain);
        if (isGone)
            fleet.ended.push_back({member.id.instance, start + ListLag + EndedAfterListed});
        return isGone;
    });
    run(fleet, "leave", start, LeaveDuration, knowledge);

    const SteadyTime back = start + LeaveDuration;
    fleet.members = whole.members;
    fleet.ended.clear();
    for (std::size_t index = 0; index < InstanceCount; ++index) {
        PlannerMember &member = fleet.members[index];
        if (member.failureDomain != "domain-" + std::to_string(GoneDomain))
            continue;
        member.id.incarnation = 2;
        fleet.startedAt[index] = back;
    }
    run(fleet, "return", back, duration, knowledge);
    return 0;
}
