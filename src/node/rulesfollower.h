#pragma once

#include "base/result.h"
#include "base/socketaddress.h"
#include "metrics/metricsregistry.h"
#include "rules/ruleshead.h"
#include "rules/rulessnapshot.h"
#include "store/objectstore.h"
#include "wire/peerclient.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Keeps the newest rules that this instance has learned of, from the store or from a peer. The
/// version never goes down. Thread safe.
class RulesFollower
{
public:
    /// The callback runs on the thread that brought a change. It reads snapshot(), since two
    /// changes may be told in any order.
    RulesFollower(MetricsRegistry &metrics, std::shared_ptr<ObjectStore> store, PeerClient &peers,
                  std::function<void()> changed);

    RulesSnapshot snapshot() const;
    RuleSet::Ptr rules() const;
    std::uint64_t version() const;

    /// Whether a version was taken from the store or from a peer since the start. A store without
    /// rules counts as version 0.
    bool isInitialized() const { return m_isInitialized; }
    void setInitialized() { m_isInitialized = true; }

    /// Takes a state of the head from the store. Conflict when it is older than the rules in force,
    /// which stay.
    boost::asio::awaitable<Result<Done>> take(StoredObject object);

    /// Takes the rules from a peer that has a newer version.
    boost::asio::awaitable<void> pull(SocketAddress peer);

private:
    void adopt(RulesSnapshot snapshot);

    const std::shared_ptr<ObjectStore> m_store;
    PeerClient &m_peers;
    const std::function<void()> m_changed;
    Counter &m_changes;
    Counter &m_pulls;
    Counter &m_rejected;

    mutable std::mutex m_mutex;
    RulesSnapshot m_snapshot;
    std::atomic<bool> m_isInitialized{false};
    std::atomic<bool> m_isPulling{false};
};

} // namespace pistachiofall
