#pragma once

#include "base/decisionlog.h"
#include "serving/fleetpeers.h"
#include "serving/kindwatcher.h"
#include "store/objectspace.h"

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// Directory of the fleet's instances in the store, with the address of each. An instance writes
/// its entry when it starts; an unchanged entry is not a change for the others. Whether an instance
/// is running is known from its reports, not from the directory.
class InstanceDirectory
{
public:
    static constexpr const char *Kind = "pistachiofall-instances";

    InstanceDirectory(DecisionLog &log, std::shared_ptr<ObjectSpace> space, FleetPeers &peers);

    /// Callbacks that add the instances of the directory to the peers, and remove them.
    KindWatcher::Callbacks callbacks();

    /// Writes the entry of this instance, and retries until the store has accepted it.
    boost::asio::awaitable<void> registerSelf();

private:
    void applyEntry(const SpaceObject &object);

    DecisionLog &m_log;
    std::shared_ptr<ObjectSpace> m_space;
    FleetPeers &m_peers;
};

} // namespace pistachiofall
