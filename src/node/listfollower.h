#pragma once

#include "base/clock.h"
#include "base/socketaddress.h"
#include "metrics/metricsregistry.h"
#include "node/newestlist.h"
#include "store/objectstore.h"
#include "wire/messages.h"
#include "wire/peerclient.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Follows the platform's instance list. A watcher reads it from the store; another instance takes
/// it from peers and reads it itself only when no peer has told of a reading for ListReadThreshold.
/// So the reads grow with the failure domains and not with the instances. Thread safe.
class ListFollower
{
public:
    struct Callbacks
    {
        /// A newer snapshot is known, or the same one was read later.
        std::function<void(const ListReading &)> taken;
        /// This instance has read a list from the store with other instances than before.
        std::function<void()> replacedByOwnRead;
        /// Whether this instance is to read the list from the store now.
        std::function<bool()> isWatcher;
    };

    ListFollower(const Clock &clock, MetricsRegistry &metrics, std::shared_ptr<ObjectStore> store,
                 PeerClient &peers, Callbacks callbacks);

    /// Runs until the executor stops.
    boost::asio::awaitable<void> run();

    /// Sets what this instance knows of the list in its heartbeat.
    void describe(wire::HeartbeatT &heartbeat, SteadyTime now) const;

    /// Whether peers are to tell what they know of the list. Most heartbeats go without, because
    /// these fields are a fifth of one.
    bool wantsNews(SteadyTime now) const;

    /// Whether the instances of the list changed so lately that peers are told without asking.
    bool hasNews(SteadyTime now) const;

    /// Takes what a peer tells in the answer to a call that was sent at the time given. The peer
    /// composed it later, so that the reading is at least as new as its age says.
    void answered(const wire::HeartbeatT &answer, SteadyTime sentAt);

    /// Fetches the list of a peer that has told of a newer one.
    boost::asio::awaitable<void> noticed(SocketAddress peer, wire::HeartbeatT heartbeat);

    /// The answer to a peer that knows the list with the hash.
    wire::ListDataT dataFor(std::uint64_t knownHash, SteadyTime now) const;

    /// From the end of one read of a watcher to the start of the next.
    static constexpr std::chrono::milliseconds ReadInterval{2000};

private:
    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> fetch(SocketAddress peer);
    bool isDue() const;
    void apply(NewestList::Change change);

    const Clock &m_clock;
    const std::shared_ptr<ObjectStore> m_store;
    PeerClient &m_peers;
    const Callbacks m_callbacks;
    Counter &m_changes;
    Counter &m_pulls;
    Counter &m_rejected;
    NewestList m_newest;
    std::atomic<SteadyTime> m_replacedAt{SteadyTime::min()};
    std::atomic<bool> m_isFetching{false};
};

} // namespace pistachiofall
