#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "coord/coordtimes.h"
#include "store/objectspace.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Watches the objects of one kind: lists them all, then watches for changes, and lists again when
/// the store no longer keeps the changes since the last revision seen. Not thread safe.
class KindWatcher
{
public:
    struct Callbacks
    {
        /// All current objects of the kind. An object that is not in the list has been removed.
        std::function<void(const std::vector<SpaceObject> &objects)> listed;
        std::function<void(const SpaceEvent &event)> changed;
        /// How long to wait after changes before the next watch, so that further changes are
        /// received together.
        std::function<std::chrono::milliseconds()> coalesceTime;
        /// The store has responded again after an outage of at least 1 s (MinReportedOutage).
        std::function<void(std::chrono::milliseconds outage)> storeRecovered;
    };

    KindWatcher(const Clock &clock, DecisionLog &log, std::shared_ptr<ObjectSpace> space,
                std::string kind, Callbacks callbacks);

    /// Lists and watches; never returns.
    boost::asio::awaitable<void> run();

    /// The last time when the store was known to be available: its last response, or now while a
    /// watch is open.
    SteadyTime lastContact() const;
    /// The time of the last response of the store. Unlike lastContact(), an open watch does not
    /// count, because a watch may stay open without ever being answered.
    SteadyTime lastResponse() const { return m_lastResponse; }
    const std::string &kind() const { return m_kind; }
    /// Whether all objects have been listed at least once.
    bool hasListed() const { return m_hasListed; }

private:
    boost::asio::awaitable<void> listAll();
    boost::asio::awaitable<void> watchOnce();
    boost::asio::awaitable<void> handleFailure(Error error, std::string_view call);
    void noteResponse();

    const Clock &m_clock;
    DecisionLog &m_log;
    std::shared_ptr<ObjectSpace> m_space;
    std::string m_kind;
    Callbacks m_callbacks;
    std::uint64_t m_revision = 0;
    bool m_hasListed = false;
    bool m_needsListing = true;
    bool m_isWatching = false;
    SteadyTime m_lastResponse{};
    int m_failures = 0;
};

} // namespace pistachiofall
