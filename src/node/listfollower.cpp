#include "node/listfollower.h"

#include "node/instancelistcodec.h"
#include "wire/body.h"
#include "wire/sleep.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Between two looks at the age of the newest reading.
constexpr milliseconds PollInterval{250};
constexpr milliseconds FetchTimeout{2000};
// Two rounds of heartbeats (1 s) fit between this and ListReadThreshold. With 1 s nearly each
// heartbeat of an instance that is no watcher would ask.
constexpr milliseconds WantedAge{1500};
// The same for a watcher, whose reads are that far apart while the store answers.
constexpr milliseconds WantedAgeOfWatcher = ListFollower::ReadInterval + milliseconds{500};
// Two rounds of heartbeats.
constexpr milliseconds NewsTime{2500};

std::uint32_t ageToWire(SteadyTime asOf, SteadyTime now)
{
    // Rounded up, so that a reading never seems newer than it is.
    const auto age = std::chrono::ceil<milliseconds>(now - asOf);
    return static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(age.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

ListFollower::ListFollower(const Clock &clock, MetricsRegistry &metrics,
                           std::shared_ptr<ObjectStore> store, PeerClient &peers,
                           Callbacks callbacks)
    : m_clock(clock)
    , m_store(std::move(store))
    , m_peers(peers)
    , m_callbacks(std::move(callbacks))
    , m_changes(metrics.counter("list_changes_total"))
    , m_pulls(metrics.counter("list_pulls_total"))
    , m_rejected(metrics.counter("list_rejected_total"))
{ }

asio::awaitable<void> ListFollower::run()
{
    for (;;) {
        if (!isDue()) {
            co_await sleepFor(PollInterval);
            continue;
        }
        co_await read();
        co_await sleepFor(ReadInterval);
    }
}

bool ListFollower::isDue() const
{
    const auto reading = m_newest.reading();
    if (!reading || m_clock.now() - reading->asOf > ListReadThreshold)
        return true;
    return m_callbacks.isWatcher();
}

asio::awaitable<void> ListFollower::read()
{
    const auto begin = m_clock.now();
    auto list = co_await m_store->instances();
    if (!isOk(list))
        co_return;
    const auto change = m_newest.take(valueOf(std::move(list)), begin);
    apply(change);
    if (change == NewestList::Change::Replaced)
        m_callbacks.replacedByOwnRead();
}

void ListFollower::describe(wire::HeartbeatT &heartbeat, SteadyTime now) const
{
    const auto reading = m_newest.reading();
    if (!reading)
        return;
    heartbeat.listVersion = reading->list->version;
    heartbeat.listHash = reading->contentHash;
    heartbeat.listAgeMs = ageToWire(reading->asOf, now);
}

bool ListFollower::wantsNews(SteadyTime now) const
{
    const auto reading = m_newest.reading();
    if (!reading)
        return true;
    const auto wantedAge = m_callbacks.isWatcher() ? WantedAgeOfWatcher : WantedAge;
    return now - reading->asOf > wantedAge;
}

bool ListFollower::hasNews(SteadyTime now) const
{
    return now - NewsTime <= m_replacedAt.load();
}

void ListFollower::answered(const wire::HeartbeatT &answer, SteadyTime sentAt)
{
    apply(m_newest.confirm(answer.listVersion, answer.listHash,
                           sentAt - milliseconds{answer.listAgeMs}));
}

asio::awaitable<void> ListFollower::noticed(SocketAddress peer, wire::HeartbeatT heartbeat)
{
    if (m_newest.isReplacedBy(heartbeat.listVersion, heartbeat.listHash))
        co_await fetch(std::move(peer));
}

asio::awaitable<void> ListFollower::fetch(SocketAddress peer)
{
    if (m_isFetching.exchange(true))
        co_return;
    wire::ListFetchT request;
    const auto known = m_newest.reading();
    request.knownHash = known ? known->contentHash : 0;
    wire::BodyUnion body = makeBody(request);
    const auto sentAt = m_clock.now();
    auto reply = co_await m_peers.call(std::move(peer), std::move(body), FetchTimeout);
    m_isFetching = false;
    const wire::ListDataT *data = isOk(reply) ? valueOf(reply).AsListData() : nullptr;
    if (data == nullptr)
        co_return;
    const auto asOf = sentAt - milliseconds{data->ageMs};
    if (data->payload.empty()) {
        apply(m_newest.confirm(data->version, data->hash, asOf));
        co_return;
    }
    const std::string_view payload(reinterpret_cast<const char *>(data->payload.data()),
                                   data->payload.size());
    auto list = decodeInstanceList(data->version, payload);
    if (!isOk(list)) {
        m_rejected.add();
        co_return;
    }
    m_pulls.add();
    apply(m_newest.take(valueOf(std::move(list)), asOf));
}

wire::ListDataT ListFollower::dataFor(std::uint64_t knownHash, SteadyTime now) const
{
    wire::ListDataT data;
    const auto reading = m_newest.reading();
    if (!reading)
        return data;
    data.version = reading->list->version;
    data.hash = reading->contentHash;
    data.ageMs = ageToWire(reading->asOf, now);
    if (reading->contentHash != knownHash) {
        const std::string payload = encodeInstanceList(*reading->list);
        data.payload.assign(payload.begin(), payload.end());
    }
    return data;
}

void ListFollower::apply(NewestList::Change change)
{
    if (change == NewestList::Change::None)
        return;
    if (change == NewestList::Change::Replaced) {
        m_changes.add();
        m_replacedAt = m_clock.now();
    }
    if (const auto reading = m_newest.reading())
        m_callbacks.taken(*reading);
}

} // namespace pistachiofall
