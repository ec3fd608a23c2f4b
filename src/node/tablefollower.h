#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "base/socketaddress.h"
#include "coord/coordtimes.h"
#include "coord/holderid.h"
#include "coord/placerelease.h"
#include "coord/plannerview.h"
#include "coord/shardratelimiter.h"
#include "coord/shardtable.h"
#include "coord/tableplan.h"
#include "metrics/metricsregistry.h"
#include "node/oneshot.h"
#include "store/objectstore.h"
#include "wire/peerclient.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Keeps the newest shard table that this instance has learned of, and makes the changes of it that
/// are this instance's to make. The epoch never goes down. Thread safe.
class TableFollower
{
public:
    using TablePtr = std::shared_ptr<const ShardTable>;

    struct Callbacks
    {
        /// Runs on the thread that brought a change, and reads table().
        std::function<void()> changed;
        /// The address of another instance; empty if it is not known.
        std::function<std::optional<SocketAddress>(const std::string &)> addressOf;
    };

    TableFollower(const Clock &clock, MetricsRegistry &metrics, HolderId self,
                  std::shared_ptr<ObjectStore> store, PeerClient &peers, ShardRateLimiter &limits,
                  Callbacks callbacks);

    /// Null before the first table.
    TablePtr table() const;
    std::uint64_t epoch() const;
    /// When this process learned of the newest table.
    SteadyTime tableSince() const;
    /// When this process came to know its first table.
    SteadyTime firstTableAt() const;

    /// Takes a state of the table from the store.
    boost::asio::awaitable<Result<Done>> take(StoredObject object);
    /// The store has no table.
    void setMissing() { m_isMissing = true; }

    /// Takes the table from a peer that has a newer epoch.
    boost::asio::awaitable<void> pull(SocketAddress peer);

    /// Makes the change, if any, that the view calls for. Returns whether there was one to make.
    boost::asio::awaitable<bool> makeChange(PlannerView view);

    /// Stops granting for the places that a collector asks for and answers once the last grants are
    /// due. The answer names no places if this process does not hold them under the base epoch.
    boost::asio::awaitable<wire::PlaceReleaseT> release(wire::PlaceRequestT request);

    static constexpr const char *ObjectName = "shard-table";

private:
    // The moves of one change, and those whose givers have released them so far.
    struct Collection
    {
        std::mutex mutex;
        std::vector<PlaceMove> asked;
        std::vector<PlaceMove> released;
        std::size_t open = 0;
        std::shared_ptr<OneShot<Done>> done;
    };

    boost::asio::awaitable<void> create(CreateTable plan);
    boost::asio::awaitable<void> change(std::uint64_t baseEpoch, ChangeTable plan);
    boost::asio::awaitable<void> write(std::uint64_t baseEpoch, ChangeTable plan);
    boost::asio::awaitable<void> replace(StoredObject next, std::uint64_t baseEpoch,
                                         ChangeTable plan);
    boost::asio::awaitable<void> collect(TablePtr base, std::vector<PlaceMove> moves);
    boost::asio::awaitable<std::optional<StoredObject>> readBase(std::uint64_t baseEpoch);
    boost::asio::awaitable<std::vector<PlaceMove>> releases(std::uint64_t baseEpoch,
                                                            std::vector<PlaceMove> moves);
    boost::asio::awaitable<void> askGiver(std::uint64_t baseEpoch, HolderId giver,
                                          std::shared_ptr<Collection> collection);
    boost::asio::awaitable<std::optional<wire::PlaceReleaseT>>
    requestRelease(wire::PlaceRequestT request);
    std::optional<SteadyTime> stopForRelease(std::uint64_t baseEpoch,
                                             std::span<const PlaceNumber> places);
    std::optional<SteadyTime> releasedAt(std::uint64_t epoch) const;
    boost::asio::awaitable<void> readBack();
    Result<Done> adopt(std::string_view data);

    const Clock &m_clock;
    const HolderId m_self;
    const std::shared_ptr<ObjectStore> m_store;
    PeerClient &m_peers;
    ShardRateLimiter &m_limits;
    const Callbacks m_callbacks;
    Counter &m_changes;
    Counter &m_writes;
    Counter &m_writeConflicts;
    Counter &m_rejected;
    Counter &m_releases;

    mutable std::mutex m_mutex;
    TablePtr m_table;
    SteadyTime m_tableSince;
    SteadyTime m_firstTableAt;
    // The last release to a collector.
    std::uint64_t m_releasedEpoch = 0;
    SteadyTime m_releasedAt;
    std::atomic<bool> m_isMissing{false};
    std::atomic<bool> m_isPulling{false};
};

} // namespace pistachiofall
