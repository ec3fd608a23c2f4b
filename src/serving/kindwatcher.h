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

/// Follows the objects of one kind: reads them all, then waits for changes, and begins again when
/// the store has forgotten what came between. It lives on one thread.
class KindWatcher
{
public:
    struct Callbacks
    {
        /// All objects as of now. Those that are not among them are gone.
        std::function<void(const std::vector<SpaceObject> &objects)> listed;
        std::function<void(const SpaceEvent &event)> changed;
        /// How long changes are gathered before the next call.
        std::function<std::chrono::milliseconds()> coalesceTime;
        /// The store answered, after a time without an answer.
        std::function<void(std::chrono::milliseconds outage)> storeRecovered;
    };

    KindWatcher(const Clock &clock, DecisionLog &log, std::shared_ptr<ObjectSpace> space,
                std::string kind, Callbacks callbacks);

    /// Runs for as long as the process.
    boost::asio::awaitable<void> run();

    /// When the store was last known to answer: it did, or an open watch of it stands.
    SteadyTime lastContact() const;
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
