#include "node/rulesfollower.h"

#include "base/log.h"
#include "node/rulesstore.h"
#include "rules/rulestransfer.h"
#include "wire/body.h"

#include <chrono>
#include <string_view>
#include <utility>

namespace pistachiofall {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds PullTimeout{2000};
// 20,000 organisations take 51 parts; the bound ends a transfer from a broken peer.
constexpr int MaxTransferParts = 1000;

} // namespace

RulesFollower::RulesFollower(MetricsRegistry &metrics, std::shared_ptr<ObjectStore> store,
                             PeerClient &peers, std::function<void()> changed)
    : m_store(std::move(store))
    , m_peers(peers)
    , m_changed(std::move(changed))
    , m_changes(metrics.counter("rules_changes_total"))
    , m_pulls(metrics.counter("rules_pulls_total"))
    , m_rejected(metrics.counter("rules_rejected_total"))
{ }

RulesSnapshot RulesFollower::snapshot() const
{
    const std::scoped_lock lock(m_mutex);
    return m_snapshot;
}

RuleSet::Ptr RulesFollower::rules() const
{
    const std::scoped_lock lock(m_mutex);
    return m_snapshot.rules;
}

std::uint64_t RulesFollower::version() const
{
    const std::scoped_lock lock(m_mutex);
    return m_snapshot.version;
}

asio::awaitable<Result<Done>> RulesFollower::take(StoredObject object)
{
    auto head = decodeRulesHead(object.data);
    if (!isOk(head)) {
        m_rejected.add();
        co_return errorOf(head);
    }
    if (valueOf(head).version < version()) {
        // A stale read, or a store that was set back. The rules in force stay.
        m_rejected.add();
        co_return Error{ErrorCode::Conflict, "the head has an older version"};
    }
    auto next = followHead(snapshot(), valueOf(head));
    if (!isOk(next) && errorOf(next).code == ErrorCode::NotFound) {
        // The head may be replaced meanwhile, so it is read again together with its segments.
        RulesSnapshot known = snapshot();
        auto stored = co_await readRules(m_store, std::move(known));
        if (isOk(stored))
            next = valueOf(std::move(stored)).snapshot;
        else
            next = errorOf(stored);
    }
    if (!isOk(next)) {
        m_rejected.add();
        co_return errorOf(next);
    }
    adopt(valueOf(std::move(next)));
    co_return Done{};
}

asio::awaitable<void> RulesFollower::pull(SocketAddress peer)
{
    if (m_isPulling.exchange(true))
        co_return;
    RulesTransfer transfer(snapshot());
    for (int part = 0; part < MaxTransferParts; ++part) {
        wire::RulesFetchT fetch;
        fetch.knownVersion = transfer.current().version;
        fetch.part = transfer.nextPart();
        wire::BodyUnion body = makeBody(fetch);
        auto reply = co_await m_peers.call(peer, std::move(body), PullTimeout);
        const wire::RulesDataT *data = isOk(reply) ? valueOf(reply).AsRulesData() : nullptr;
        if (data == nullptr)
            break;
        const auto next = transfer.accept(std::string_view(
                reinterpret_cast<const char *>(data->payload.data()), data->payload.size()));
        if (!isOk(next)) {
            m_rejected.add();
            break;
        }
        if (valueOf(next)) {
            m_pulls.add();
            adopt(*valueOf(next));
            break;
        }
    }
    m_isPulling = false;
}

void RulesFollower::adopt(RulesSnapshot snapshot)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isInitialized = true;
        if (snapshot.version <= m_snapshot.version)
            return;
        m_snapshot = snapshot;
    }
    m_changes.add();
    logInfo("rules in force", {{"version", snapshot.version}, {"author", snapshot.origin.author}});
    m_changed();
}

} // namespace pistachiofall
