#include "serving/watchpeers.h"

#include "base/stablehash.h"
#include "store/changestext.h"
#include "wire/body.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace pistachiofall {

using std::chrono::milliseconds;

namespace {

// Leaves time within the bound on changes for a watch of one's own.
constexpr milliseconds FetchTimeout{300};

std::uint32_t encodeAge(milliseconds age)
{
    const std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, most));
}

} // namespace

WatchPeers::WatchPeers(DecisionLog &log, MetricsRegistry &metrics, FleetPeers &peers)
    : m_log(log)
    , m_metrics(metrics)
    , m_peers(peers)
{ }

KindWatcher::WatchGroup WatchPeers::group(const std::string &kind) const
{
    const std::uint64_t own = rendezvousRank(kind, m_peers.self().name);
    const auto close = m_peers.closePeers();
    const auto before = std::count_if(close.begin(), close.end(), [&](const std::string &name) {
        return rendezvousRank(kind, name) < own;
    });
    return {static_cast<std::size_t>(before), close.size() + 1};
}

void WatchPeers::recordMark(const std::string &peer, const std::string &kind,
                            std::uint64_t newestChange)
{
    m_newestChange[kind][peer] = newestChange;
}

std::uint64_t WatchPeers::newestChangeOf(const std::string &peer, const std::string &kind) const
{
    const auto ofKind = m_newestChange.find(kind);
    if (ofKind == m_newestChange.end())
        return 0;
    const auto found = ofKind->second.find(peer);
    return found == ofKind->second.end() ? 0 : found->second;
}

// The other instances of the group that watch the kind; first the one that knows the newest change.
std::vector<std::string> WatchPeers::watchersOf(const std::string &kind) const
{
    std::vector<std::string> names = m_peers.closePeers();
    std::sort(names.begin(), names.end(), [&](const std::string &a, const std::string &b) {
        return rendezvousRank(kind, a) < rendezvousRank(kind, b);
    });
    if (names.size() > WatchSharing::WatchersPerGroup)
        names.resize(WatchSharing::WatchersPerGroup);
    std::stable_sort(names.begin(), names.end(), [&](const std::string &a, const std::string &b) {
        return newestChangeOf(a, kind) > newestChangeOf(b, kind);
    });
    return names;
}

ObjectSpace::Async<PeerChanges> WatchPeers::fetch(std::string kind, std::uint64_t revision)
{
    Error last{ErrorCode::Unavailable, "no peer watches '" + kind + "'"};
    for (const std::string &peer : watchersOf(kind)) {
        auto changes = co_await fetchFrom(peer, kind, revision);
        m_metrics
                .counter("watch_fetches_total",
                         {{"kind", kind}, {"outcome", isOk(changes) ? "known" : "unknown"}})
                .add();
        if (isOk(changes))
            co_return changes;
        // An answer says more than that there was none.
        if (last.code != ErrorCode::NotFound)
            last = errorOf(changes);
    }
    co_return last;
}

ObjectSpace::Async<PeerChanges> WatchPeers::fetchFrom(std::string peer, std::string kind,
                                                      std::uint64_t revision)
{
    const auto address = m_peers.addressOf(peer);
    if (!address)
        co_return Error{ErrorCode::Unavailable, "the address of '" + peer + "' is not known"};
    wire::ChangesFetchT fetch;
    fetch.kind = kind;
    fetch.knownRevision = revision;
    wire::BodyUnion body = makeBody(std::move(fetch));
    const auto reply = co_await m_peers.client().call(*address, std::move(body), FetchTimeout);
    if (!isOk(reply))
        co_return Error{ErrorCode::Unavailable, errorOf(reply).message};
    // An instance of an earlier version answers something else.
    const auto *data = valueOf(reply).AsChangesData();
    if (data == nullptr)
        co_return Error{ErrorCode::Unavailable, "'" + peer + "' passes no changes on"};
    co_return decode(peer, kind, *data);
}

Result<PeerChanges> WatchPeers::decode(const std::string &peer, const std::string &kind,
                                       const wire::ChangesDataT &data)
{
    if (data.payload.empty())
        return Error{ErrorCode::NotFound, "'" + peer + "' does not know all changes"};
    const std::string text(data.payload.begin(), data.payload.end());
    auto changes = store::decodeChanges(text);
    if (!isOk(changes)) {
        m_log.warning("peer_changes_unreadable",
                      {{"peer", peer}, {"kind", kind}, {"reason", errorOf(changes).message}});
        return Error{ErrorCode::Unavailable, errorOf(changes).message};
    }
    return PeerChanges{valueOf(std::move(changes)), milliseconds{data.confirmedAgeMs},
                       milliseconds{data.recoveredAgeMs}};
}

wire::ChangesDataT WatchPeers::encode(const std::optional<PeerChanges> &changes)
{
    wire::ChangesDataT data;
    if (!changes)
        return data;
    const std::string text = store::encodeChanges(changes->changes);
    data.payload.assign(text.begin(), text.end());
    data.confirmedAgeMs = encodeAge(changes->confirmedAge);
    data.recoveredAgeMs = encodeAge(changes->recoveredAge);
    return data;
}

} // namespace pistachiofall
