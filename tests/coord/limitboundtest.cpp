#include "coord/shardratelimiter.h"

#include "base/manualclock.h"
#include "coord/grantrecord.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace pistachiofall;
using pistachiofall::tests::GrantRecord;
using namespace std::chrono_literals;

namespace {

constexpr const char *Organisation = "acme";
const std::vector<std::uint32_t> onlyShard{0};

// Divided and undivided limits, and no limit. Low rates with a large burst reveal a bucket that
// starts with tokens, and high rates a share that two holders use.
const std::vector<std::optional<RateLimit>> limitChoices{
        RateLimit{5'000, 60},   RateLimit{100'000, 10},
        RateLimit{1'000, 1},    RateLimit{500'000, 40},
        RateLimit{2'000, 100},  RateLimit{1'900, 8},
        RateLimit{100'000, 11}, std::nullopt};

struct Instance
{
    HolderId id;
    std::unique_ptr<ShardRateLimiter> limiter;
    ShardTable table;
    std::size_t version = 0;
    SteadyTime startedAt;
    SteadyTime confirmedAt;
    // The process is paused until then.
    SteadyTime pausedUntil;
    // Cut off until then: gets no confirmations and writes nothing.
    SteadyTime cutOffUntil;
    // Learns of newer epochs, but not of their tables, until then.
    SteadyTime tableDelayedUntil;
    // The last release to a rebalancer.
    std::uint64_t releasedEpoch = 0;
    SteadyTime releasedAt;
};

struct PendingWrite
{
    SteadyTime at;
    ShardTable table;
    std::size_t writer;
    bool isAnswerLost;
};

// A rebalancer's request for a release in flight, and after it the release and the write.
struct Rebalance
{
    enum class Stage { Request, Write };

    Stage stage = Stage::Request;
    SteadyTime at;
    ShardTable table;
    std::size_t place;
    HolderId rebalancer;
    HolderId releaser;
    std::chrono::milliseconds writeDelay;
    bool isReleaseLost;
    bool isAnswerLost;
};

// A request whose time was read and whose isolation was checked before its thread was paused.
struct StalledRequest
{
    std::size_t instance;
    HolderId id;
    SteadyTime readAt;
    SteadyTime resumedAt;
};

// Simulates instances that hold one shard and follow the protocol of ShardRateLimiter and the shard
// table, and records what they grant.
class HolderFleet
{
public:
    HolderFleet()
    {
        m_record.addVersion(limitChoices[0], m_clock.now());
        for (std::size_t index = 0; index < 4; ++index) {
            Instance &added = m_instances.emplace_back();
            added.id = {"i" + std::to_string(index), 1};
        }
        m_stored = {1, {Shard{{{m_instances[0].id, 1, false}, {m_instances[1].id, 1, false}}}}};
        for (Instance &instance : m_instances)
            startProcess(instance);
    }

    void step(std::chrono::microseconds pause, int kind, int first, int second)
    {
        m_clock.advance(pause);
        finishWrites();
        resumeRequests();
        continueRebalances();
        for (std::size_t index = 0; index < m_instances.size(); ++index) {
            Instance &instance = m_instances[index];
            if (now() >= instance.confirmedAt + 700ms * (index + 1))
                confirm(instance);
            replaceOwnEntry(instance);
            endUnusedRelease(instance);
        }
        Instance &instance = m_instances[static_cast<std::size_t>(first) % m_instances.size()];
        act(instance, kind, static_cast<std::size_t>(second));
    }

    std::size_t grantCount() const { return m_record.grantCount(); }

    std::size_t rebalancedCount() const { return m_rebalanced; }

    bool isWithinBound() { return m_record.isWithinBound(); }

private:
    SteadyTime now() const { return m_clock.now(); }

    bool runs(const Instance &instance) const { return now() >= instance.pausedUntil; }

    bool isIsolated(const Instance &instance) const
    {
        return now() > instance.confirmedAt + PeerConfirmationLifetime;
    }

    void act(Instance &instance, int kind, std::size_t choice)
    {
        if (kind < 40) {
            for (const Instance &requester : m_instances)
                requestTokens(requester, choice);
        } else if (kind < 60)
            requestTokens(instance, choice);
        else if (kind < 66)
            stallRequest(instance, choice * 20ms);
        else if (kind < 71)
            instance.pausedUntil = now() + choice * 20ms;
        else if (kind < 76)
            (choice % 2 == 0 ? instance.cutOffUntil : instance.tableDelayedUntil) =
                    now() + choice * 20ms;
        else if (kind < 80)
            restart(instance);
        else if (kind < 84)
            takeOver(instance, choice);
        else if (kind < 91)
            handOver(instance, choice);
        else if (kind < 97)
            changeRule(choice);
        else if (kind < 100) {
            if (runs(instance))
                instance.limiter->dropIdleBuckets(now());
        } else
            startRebalance(instance, choice);
    }

    // The instance requests tokens from one holder and then the other, by the table that it knows.
    // A lost answer counts as a refusal, and its tokens count as granted.
    void requestTokens(const Instance &requester, std::size_t choice)
    {
        const std::size_t firstPlace = choice % 2;
        const bool isAnswerLost = choice % 5 == 0;
        const std::size_t rounds = choice % 4 == 0 ? choice % 30 : 200;
        bool isGranted = true;
        for (std::size_t round = 0; round < rounds && isGranted; ++round) {
            isGranted = false;
            for (const std::size_t place : {firstPlace, 1 - firstPlace}) {
                Instance *holder = find(requester.table.shards[0][place].holder);
                if (holder == nullptr || !runs(*holder) || isIsolated(*holder))
                    continue;
                const auto tokens = static_cast<std::uint32_t>(1 + choice % 3 / 2);
                isGranted |= request(*holder, tokens, now());
                if (isGranted && !isAnswerLost)
                    break;
            }
        }
    }

    bool request(Instance &holder, std::uint32_t tokens, SteadyTime readAt)
    {
        const auto answer = holder.limiter->request(Organisation, tokens, MaxGrantWait, readAt);
        const auto *granted = std::get_if<TokensGranted>(&answer);
        if (granted == nullptr)
            return false;
        m_record.addGrant(holder.version, granted->due, tokens);
        return true;
    }

    void stallRequest(const Instance &instance, std::chrono::milliseconds pause)
    {
        if (runs(instance) && !isIsolated(instance)) {
            const auto index = static_cast<std::size_t>(&instance - m_instances.data());
            m_stalled.push_back({index, instance.id, now(), now() + pause});
        }
    }

    void resumeRequests()
    {
        std::erase_if(m_stalled, [this](const StalledRequest &stalled) {
            Instance &instance = m_instances[stalled.instance];
            if (now() < stalled.resumedAt || !runs(instance))
                return false;
            if (instance.id == stalled.id)
                request(instance, 1, stalled.readAt);
            return true;
        });
    }

    Instance *find(const HolderId &id)
    {
        const auto position = std::ranges::find(m_instances, id, &Instance::id);
        return position == m_instances.end() ? nullptr : &*position;
    }

    void startProcess(Instance &instance)
    {
        instance.limiter = std::make_unique<ShardRateLimiter>(instance.id);
        instance.startedAt = now();
        instance.confirmedAt = now();
        readWholeRules(instance);
        readTable(instance);
    }

    void readTable(Instance &instance)
    {
        instance.table = m_stored;
        instance.limiter->setTable(m_stored, now());
    }

    void readWholeRules(Instance &instance)
    {
        instance.version = m_record.versionCount() - 1;
        std::vector<OrganisationLimit> limits;
        if (const auto &limit = m_record.limit(instance.version))
            limits.push_back({Organisation, *limit});
        instance.limiter->setRates(limits, now());
        m_record.extendUntil(instance.version, now());
    }

    // Confirms the newest state, by the store or a peer. The table may arrive later than its epoch.
    void confirm(Instance &instance)
    {
        if (!runs(instance) || now() < instance.cutOffUntil)
            return;
        instance.limiter->announceEpoch(m_stored.epoch);
        instance.confirmedAt = now();
        if (m_record.versionCount() > instance.version + 3)
            readWholeRules(instance);
        while (instance.version + 1 < m_record.versionCount()) {
            ++instance.version;
            const auto &limit = m_record.limit(instance.version);
            instance.limiter->changeRate(Organisation, limit, now());
            m_record.extendUntil(instance.version, now());
        }
        if (now() >= instance.tableDelayedUntil)
            readTable(instance);
    }

    void changeRule(std::size_t choice)
    {
        m_record.addVersion(limitChoices[choice % limitChoices.size()], now());
    }

    void restart(Instance &instance)
    {
        ++instance.id.incarnation;
        instance.pausedUntil = now();
        instance.cutOffUntil = now();
        startProcess(instance);
    }

    ShardTable nextTable(const Instance &writer) const
    {
        ShardTable next = writer.table;
        ++next.epoch;
        return next;
    }

    bool mayWrite(const Instance &writer) const
    {
        return runs(writer) && now() >= writer.cutOffUntil && writer.table.epoch == m_stored.epoch;
    }

    // Takes over a place, even of a running instance, because the instance list may drop one. The
    // new holder always waits.
    void takeOver(Instance &writer, std::size_t choice)
    {
        if (!mayWrite(writer))
            return;
        const std::size_t place = choice % 2;
        ShardTable next = nextTable(writer);
        if (next.shards[0][place].holder.instance == writer.id.instance)
            return;
        const Instance &holder = m_instances[choice / 2 % m_instances.size()];
        if (holder.id.instance == next.shards[0][place].holder.instance)
            return;
        next.shards[0][place] = {holder.id, next.epoch, true};
        commit(next, writer, choice % 3 == 0);
    }

    void replaceOwnEntry(Instance &writer)
    {
        if (!mayWrite(writer) || now() < writer.startedAt + MaxGrantWait)
            return;
        ShardTable next = nextTable(writer);
        bool hasChanged = false;
        for (ShardPlace &place : next.shards[0]) {
            if (place.holder.instance != writer.id.instance || place.holder == writer.id)
                continue;
            place = {writer.id, next.epoch, place.takenOver};
            hasChanged = true;
        }
        if (hasChanged)
            commit(next, writer, false);
    }

    // The write takes effect once the last grants are due, in some cases much later.
    void handOver(Instance &writer, std::size_t choice)
    {
        if (!mayWrite(writer))
            return;
        ShardTable next = nextTable(writer);
        ShardPlace &place = next.shards[0][choice % 2];
        if (place.holder != writer.id)
            return;
        const bool isTakeoverPending = !writer.limiter->pendingTakeovers(now()).empty();
        const Instance &holder = m_instances[choice / 2 % m_instances.size()];
        const auto writeFrom = writer.limiter->pauseShards(writer.table.epoch, onlyShard, now());
        if (!writeFrom || holder.id == writer.id)
            return;
        place = {holder.id, next.epoch, isTakeoverPending};
        const auto index = static_cast<std::size_t>(&writer - m_instances.data());
        const auto delay = choice % 7 == 0 ? 3s : 0s;
        m_writes.push_back({*writeFrom + delay, next, index, choice % 3 == 0});
    }

    // Requests and releases may be lost, late or duplicated, and a rebalancer continues after any
    // pause.
    void startRebalance(Instance &rebalancer, std::size_t choice)
    {
        if (!mayWrite(rebalancer))
            return;
        Rebalance rebalance;
        rebalance.table = nextTable(rebalancer);
        rebalance.place = choice % 2;
        rebalance.rebalancer = rebalancer.id;
        ShardPlace &place = rebalance.table.shards[0][rebalance.place];
        const Instance &newHolder = m_instances[choice / 2 % m_instances.size()];
        if (newHolder.id.instance == place.holder.instance || choice % 11 == 0)
            return;
        rebalance.releaser = place.holder;
        place = {newHolder.id, rebalance.table.epoch, false};
        rebalance.at = now() + (std::chrono::milliseconds{choice % 3 == 0 ? choice * 5 : 0});
        rebalance.writeDelay = std::chrono::milliseconds{choice % 4 == 0 ? choice * 10 : 0};
        rebalance.isReleaseLost = choice % 7 == 0;
        rebalance.isAnswerLost = choice % 9 == 0;
        m_rebalances.push_back(rebalance);
        if (choice % 5 != 0)
            return;
        rebalance.at += choice * 4ms;
        m_rebalances.push_back(rebalance);
    }

    void continueRebalances()
    {
        std::erase_if(m_rebalances, [this](Rebalance &rebalance) {
            if (now() < rebalance.at)
                return false;
            const bool isRequest = rebalance.stage == Rebalance::Stage::Request;
            Instance *actor = find(isRequest ? rebalance.releaser : rebalance.rebalancer);
            if (actor == nullptr)
                return true;
            if (!runs(*actor))
                return false;
            if (isRequest)
                return !release(*actor, rebalance);
            writeRebalance(*actor, rebalance);
            return true;
        });
    }

    // Returns whether the release reaches the rebalancer.
    bool release(Instance &releaser, Rebalance &rebalance)
    {
        const std::uint64_t base = rebalance.table.epoch - 1;
        const ShardPlace &place = releaser.table.shards[0][rebalance.place];
        if (releaser.table.epoch != base || releaser.limiter->newestEpoch() != base
            || place.holder != releaser.id || !releaser.limiter->pendingTakeovers(now()).empty())
            return false;
        const auto releasedFrom = releaser.limiter->releaseShards(base, onlyShard, now());
        if (!releasedFrom)
            return false;
        releaser.releasedEpoch = base;
        releaser.releasedAt = now();
        rebalance.stage = Rebalance::Stage::Write;
        rebalance.at = *releasedFrom + rebalance.writeDelay;
        return !rebalance.isReleaseLost;
    }

    void writeRebalance(Instance &rebalancer, const Rebalance &rebalance)
    {
        if (m_stored.epoch != rebalance.table.epoch - 1)
            return;
        commit(rebalance.table, rebalancer, rebalance.isAnswerLost);
        ++m_rebalanced;
    }

    void endUnusedRelease(Instance &releaser)
    {
        if (releaser.releasedEpoch == releaser.table.epoch && mayWrite(releaser)
            && now() >= releaser.releasedAt + UnusedReleaseTimeout)
            commit(nextTable(releaser), releaser, false);
    }

    void finishWrites()
    {
        std::erase_if(m_writes, [this](const PendingWrite &write) {
            if (now() < write.at)
                return false;
            Instance &writer = m_instances[write.writer];
            const std::uint64_t base = write.table.epoch - 1;
            if (m_stored.epoch == base)
                commit(write.table, writer, write.isAnswerLost);
            else if (write.isAnswerLost)
                writer.limiter->keepPaused(base);
            else
                writer.limiter->resumeShards(base);
            return true;
        });
    }

    void commit(const ShardTable &next, Instance &writer, bool isAnswerLost)
    {
        m_stored = next;
        if (isAnswerLost)
            writer.limiter->keepPaused(next.epoch - 1);
        else if (runs(writer))
            readTable(writer);
    }

    ManualClock m_clock;
    ShardTable m_stored;
    GrantRecord m_record;
    std::vector<Instance> m_instances;
    std::vector<PendingWrite> m_writes;
    std::vector<Rebalance> m_rebalances;
    std::size_t m_rebalanced = 0;
    std::vector<StalledRequest> m_stalled;
};

} // namespace

TEST_GROUP(LimitBound){};

// Guards against an organisation that gets more than its rate and burst over all holders together
// while holders restart, pause, are partitioned, take over, release places to rebalancers and learn
// of changes at different times.
TEST(LimitBound, HoldsInEveryIntervalOverAllHolders)
{
    using Step = std::tuple<int, int, int, int>;
    const auto microseconds = rc::gen::weightedOneOf<int>({{6, rc::gen::inRange(0, 30'000)},
                                                           {3, rc::gen::inRange(0, 400'000)},
                                                           {1, rc::gen::inRange(0, 4'000'000)}});
    const auto step = rc::gen::tuple(microseconds, rc::gen::inRange(0, 108), rc::gen::inRange(0, 4),
                                     rc::gen::inRange(0, 501));
    const auto steps = rc::gen::resize(800, rc::gen::container<std::vector<Step>>(step));
    std::size_t grants = 0;
    std::size_t rebalanced = 0;
    CHECK(rc::check("bound of rate and burst", [&] {
        HolderFleet fleet;
        for (const auto &[pause, kind, first, second] : *steps)
            fleet.step(std::chrono::microseconds{pause}, kind, first, second);
        grants += fleet.grantCount();
        rebalanced += fleet.rebalancedCount();
        RC_ASSERT(fleet.isWithinBound());
    }));
    // The check is meaningful only if enough tokens were granted and enough places released.
    CHECK(grants >= 10'000);
    CHECK(rebalanced >= 100);
}
