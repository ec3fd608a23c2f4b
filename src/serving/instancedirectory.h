#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "serving/fleetpeers.h"
#include "store/objectspace.h"

#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Directory of the fleet's instances in the store, with the address of each. An instance writes
/// its entry when it starts; an unchanged entry is not a change for the others. Whether an instance
/// is running is known from its reports, not from the directory. The directory is read once after
/// the own entry was written, so that of two instances at least one learns of the other, which then
/// hears its reports; later from time to time, as old as the store likes, which costs it little.
class InstanceDirectory
{
public:
    static constexpr const char *Kind = "pistachiofall-instances";

    InstanceDirectory(const Clock &clock, DecisionLog &log, std::shared_ptr<ObjectSpace> space,
                      FleetPeers &peers);

    /// Writes the entry of this instance and follows those of the others. Runs as long as the
    /// executor.
    boost::asio::awaitable<void> run();

    /// The last time when the store answered; the time of the creation before.
    SteadyTime lastContact() const { return m_lastResponse; }

private:
    boost::asio::awaitable<bool> registerSelf();
    boost::asio::awaitable<bool> readAll(Freshness freshness);
    void applyEntry(const SpaceObject &object);
    void removeMissing(const std::set<std::string> &listed);

    const Clock &m_clock;
    DecisionLog &m_log;
    std::shared_ptr<ObjectSpace> m_space;
    FleetPeers &m_peers;
    bool m_hasTriedToRegister = false;
    /// The instance had no entry before this process wrote it.
    bool m_isFirstProcess = false;
    SteadyTime m_lastResponse;
    /// The instances that were listed, and how often in a row they were missing since.
    std::map<std::string, int> m_missing;
};

} // namespace pistachiofall
