#include "node/tablefollower.h"

#include "base/log.h"
#include "coord/shardtablecodec.h"
#include "coord/tableplanner.h"
#include "wire/body.h"
#include "wire/sleep.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds PullTimeout{2000};

std::string_view reasonName(TableChangeReason reason)
{
    switch (reason) {
    case TableChangeReason::Leaving:
        return "leaving";
    case TableChangeReason::OwnRestart:
        return "own_restart";
    case TableChangeReason::Takeover:
        return "takeover";
    case TableChangeReason::Rebalance:
        return "rebalance";
    case TableChangeReason::UnusedRelease:
        return "unused_release";
    }
    return "unknown";
}

bool hadNoEffect(ErrorCode code)
{
    return code != ErrorCode::TimedOut && code != ErrorCode::OutcomeUnknown;
}

} // namespace

TableFollower::TableFollower(const Clock &clock, MetricsRegistry &metrics, HolderId self,
                             std::shared_ptr<ObjectStore> store, PeerClient &peers,
                             ShardRateLimiter &limits, Callbacks callbacks)
    : m_clock(clock)
    , m_self(std::move(self))
    , m_store(std::move(store))
    , m_peers(peers)
    , m_limits(limits)
    , m_callbacks(std::move(callbacks))
    , m_changes(metrics.counter("table_changes_total"))
    , m_writes(metrics.counter("table_writes_total"))
    , m_writeConflicts(metrics.counter("table_write_conflicts_total"))
    , m_rejected(metrics.counter("table_rejected_total"))
    , m_releases(metrics.counter("table_places_released_total"))
{ }

TableFollower::TablePtr TableFollower::table() const
{
    const std::scoped_lock lock(m_mutex);
    return m_table;
}

std::uint64_t TableFollower::epoch() const
{
    const TablePtr current = table();
    return current ? current->epoch : 0;
}

SteadyTime TableFollower::tableSince() const
{
    const std::scoped_lock lock(m_mutex);
    return m_tableSince;
}

SteadyTime TableFollower::firstTableAt() const
{
    const std::scoped_lock lock(m_mutex);
    return m_firstTableAt;
}

asio::awaitable<Result<Done>> TableFollower::take(StoredObject object)
{
    co_return adopt(object.data);
}

asio::awaitable<void> TableFollower::pull(SocketAddress peer)
{
    if (m_isPulling.exchange(true))
        co_return;
    wire::TableFetchT fetch;
    fetch.knownEpoch = epoch();
    wire::BodyUnion body = makeBody(fetch);
    auto reply = co_await m_peers.call(peer, std::move(body), PullTimeout);
    const wire::TableDataT *data = isOk(reply) ? valueOf(reply).AsTableData() : nullptr;
    if (data != nullptr && !data->payload.empty()) {
        adopt(std::string_view(reinterpret_cast<const char *>(data->payload.data()),
                               data->payload.size()));
    }
    m_isPulling = false;
}

asio::awaitable<bool> TableFollower::makeChange(PlannerView view)
{
    const TablePtr current = table();
    if (!current && !m_isMissing)
        co_return false;
    // Counted after the table was read: a place that a newer table gives is not settled either.
    if (current && m_limits.epoch() != current->epoch)
        co_return false;
    view.pendingTakeovers = m_limits.pendingTakeovers(view.now);
    view.tableSince = tableSince();
    view.releasedAt = releasedAt(current ? current->epoch : 0);
    TablePlan plan = planTable(current.get(), view);
    if (auto *creation = std::get_if<CreateTable>(&plan)) {
        co_await create(std::move(*creation));
        co_return true;
    }
    if (auto *replacement = std::get_if<ChangeTable>(&plan)) {
        co_await change(current->epoch, std::move(*replacement));
        co_return true;
    }
    if (auto *collection = std::get_if<RequestReleases>(&plan)) {
        co_await collect(current, std::move(collection->moves));
        co_return true;
    }
    co_return false;
}

asio::awaitable<void> TableFollower::create(CreateTable plan)
{
    StoredObject object;
    object.name = ObjectName;
    object.data = encodeShardTable(plan.table);
    const auto created = co_await m_store->create(std::move(object));
    m_writes.add();
    if (!isOk(created))
        m_writeConflicts.add();
    // Whoever came first, and whatever became of an answer that was lost, the store has it now.
    co_await readBack();
}

asio::awaitable<void> TableFollower::change(std::uint64_t baseEpoch, ChangeTable plan)
{
    const auto writableFrom = m_limits.pauseShards(baseEpoch, plan.stopShards, m_clock.now());
    if (!writableFrom)
        co_return;
    const auto wait = std::chrono::ceil<milliseconds>(*writableFrom - m_clock.now());
    if (wait > milliseconds{0})
        co_await sleepFor(wait);
    co_await write(baseEpoch, std::move(plan));
}

asio::awaitable<void> TableFollower::write(std::uint64_t baseEpoch, ChangeTable plan)
{
    auto object = co_await readBase(baseEpoch);
    if (object)
        co_await replace(std::move(*object), baseEpoch, std::move(plan));
    else
        m_limits.resumeShards(baseEpoch);
}

// The stored table, if it is the one of the base epoch. A newer one is taken.
asio::awaitable<std::optional<StoredObject>> TableFollower::readBase(std::uint64_t baseEpoch)
{
    std::string name = ObjectName;
    auto object = co_await m_store->get(std::move(name));
    if (!isOk(object))
        co_return std::nullopt;
    const auto stored = decodeShardTable(valueOf(object).data);
    if (!isOk(stored) || valueOf(stored).epoch != baseEpoch) {
        m_writeConflicts.add();
        adopt(valueOf(object).data);
        co_return std::nullopt;
    }
    co_return valueOf(std::move(object));
}

asio::awaitable<void> TableFollower::replace(StoredObject next, std::uint64_t baseEpoch,
                                             ChangeTable plan)
{
    next.data = encodeShardTable(plan.table);
    const std::string data = next.data;
    m_writes.add();
    const auto updated = co_await m_store->update(std::move(next));
    if (isOk(updated)) {
        logInfo("shard table changed",
                {{"epoch", plan.table.epoch}, {"reason", reasonName(plan.reason)}});
        adopt(data);
        co_return;
    }
    m_writeConflicts.add();
    if (hadNoEffect(errorOf(updated).code))
        m_limits.resumeShards(baseEpoch);
    else
        m_limits.keepPaused(baseEpoch);
    co_await readBack();
}

// The object is read before anybody stops: with the store away or the plan out of date, nobody
// stops for nothing. The update is conditional on this read, however late it comes.
asio::awaitable<void> TableFollower::collect(TablePtr base, std::vector<PlaceMove> moves)
{
    auto object = co_await readBase(base->epoch);
    if (!object)
        co_return;
    const auto released = co_await releases(base->epoch, std::move(moves));
    if (released.empty())
        co_return;
    ChangeTable plan;
    plan.table = tableWithMoves(*base, released);
    plan.reason = TableChangeReason::Rebalance;
    co_await replace(std::move(*object), base->epoch, std::move(plan));
}

asio::awaitable<std::vector<PlaceMove>> TableFollower::releases(std::uint64_t baseEpoch,
                                                                std::vector<PlaceMove> moves)
{
    const auto executor = co_await asio::this_coro::executor;
    std::set<HolderId> givers;
    for (const PlaceMove &move : moves)
        givers.insert(move.currentHolder);
    auto collection = std::make_shared<Collection>();
    collection->asked = std::move(moves);
    collection->open = givers.size();
    collection->done = std::make_shared<OneShot<Done>>(executor);
    for (const HolderId &giver : givers)
        asio::co_spawn(executor, askGiver(baseEpoch, giver, collection), asio::detached);
    co_await collection->done->wait(m_clock.now() + ReleaseTimeout);
    const std::scoped_lock lock(collection->mutex);
    co_return collection->released;
}

asio::awaitable<void> TableFollower::askGiver(std::uint64_t baseEpoch, HolderId giver,
                                              std::shared_ptr<Collection> collection)
{
    wire::PlaceRequestT request;
    request.baseEpoch = baseEpoch;
    request.instance = giver.instance;
    request.incarnation = giver.incarnation;
    for (const PlaceMove &move : collection->asked) {
        if (move.currentHolder == giver)
            request.places.push_back(placeNumber(move.shard, move.place));
    }
    const auto reply = co_await requestRelease(std::move(request));
    const std::scoped_lock lock(collection->mutex);
    if (reply && reply->baseEpoch == baseEpoch) {
        const auto moves = releasedMoves(collection->asked, giver, reply->places);
        collection->released.insert(collection->released.end(), moves.begin(), moves.end());
    }
    if (--collection->open == 0)
        collection->done->set(Done{});
}

asio::awaitable<std::optional<wire::PlaceReleaseT>>
TableFollower::requestRelease(wire::PlaceRequestT request)
{
    if (request.instance == m_self.instance)
        co_return co_await release(std::move(request));
    const auto address = m_callbacks.addressOf(request.instance);
    if (!address)
        co_return std::nullopt;
    wire::BodyUnion body = makeBody(std::move(request));
    auto reply = co_await m_peers.call(*address, std::move(body), ReleaseTimeout);
    const wire::PlaceReleaseT *released = isOk(reply) ? valueOf(reply).AsPlaceRelease() : nullptr;
    if (released == nullptr)
        co_return std::nullopt;
    co_return *released;
}

asio::awaitable<wire::PlaceReleaseT> TableFollower::release(wire::PlaceRequestT request)
{
    wire::PlaceReleaseT reply;
    reply.baseEpoch = request.baseEpoch;
    const TablePtr current = table();
    const bool isForSelf = HolderId{request.instance, request.incarnation} == m_self;
    // The shards that are not settled are those of the table only while the epochs agree.
    if (!current || !isForSelf || current->epoch != request.baseEpoch
        || m_limits.newestEpoch() != request.baseEpoch)
        co_return reply;
    const auto unsettled = m_limits.pendingTakeovers(m_clock.now());
    const auto places = releasablePlaces(*current, m_self, request.places, unsettled);
    const auto releasedFrom = stopForRelease(request.baseEpoch, places);
    if (!releasedFrom)
        co_return reply;
    const auto wait = std::chrono::ceil<milliseconds>(*releasedFrom - m_clock.now());
    if (wait > milliseconds{0})
        co_await sleepFor(wait);
    m_releases.add(places.size());
    reply.places = places;
    co_return reply;
}

// Returns from when the places count as released; empty if the epoch is not in use any more.
std::optional<SteadyTime> TableFollower::stopForRelease(std::uint64_t baseEpoch,
                                                        std::span<const PlaceNumber> places)
{
    std::vector<std::uint32_t> shards;
    for (const PlaceNumber number : places)
        shards.push_back(shardOfPlace(number));
    if (shards.empty())
        return std::nullopt;
    const auto now = m_clock.now();
    const auto writableFrom = m_limits.releaseShards(baseEpoch, shards, now);
    if (!writableFrom)
        return std::nullopt;
    const std::scoped_lock lock(m_mutex);
    if (baseEpoch >= m_releasedEpoch) {
        m_releasedEpoch = baseEpoch;
        m_releasedAt = now;
    }
    return writableFrom;
}

std::optional<SteadyTime> TableFollower::releasedAt(std::uint64_t epoch) const
{
    const std::scoped_lock lock(m_mutex);
    if (m_releasedEpoch != epoch || epoch == 0)
        return std::nullopt;
    return m_releasedAt;
}

asio::awaitable<void> TableFollower::readBack()
{
    std::string name = ObjectName;
    const auto object = co_await m_store->get(std::move(name));
    if (isOk(object))
        adopt(valueOf(object).data);
}

Result<Done> TableFollower::adopt(std::string_view data)
{
    auto decoded = decodeShardTable(data);
    if (!isOk(decoded)) {
        m_rejected.add();
        return errorOf(decoded);
    }
    auto next = std::make_shared<const ShardTable>(valueOf(std::move(decoded)));
    {
        const std::scoped_lock lock(m_mutex);
        if (m_table && next->epoch < m_table->epoch) {
            m_rejected.add();
            return Error{ErrorCode::Conflict, "the shard table has an older epoch"};
        }
        if (m_table && next->epoch == m_table->epoch)
            return Done{};
        m_tableSince = m_clock.now();
        if (!m_table)
            m_firstTableAt = m_tableSince;
        m_table = next;
    }
    m_changes.add();
    m_limits.setTable(*next, m_clock.now());
    m_callbacks.changed();
    return Done{};
}

} // namespace pistachiofall
