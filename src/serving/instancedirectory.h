#pragma once

#include "base/decisionlog.h"
#include "serving/fleetpeers.h"
#include "serving/kindwatcher.h"
#include "store/objectspace.h"

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace pistachiofall {

/// The instances of the fleet in the store: where each of them listens. An entry is written once,
/// when an instance first starts at its address; whether it runs is known from its reports.
class InstanceDirectory
{
public:
    static constexpr const char *Kind = "pistachiofall-instances";

    InstanceDirectory(DecisionLog &log, std::shared_ptr<ObjectSpace> space, FleetPeers &peers);

    /// Follows the entries of the others.
    KindWatcher::Callbacks callbacks();

    /// Writes the own entry, and tries again until the store has it.
    boost::asio::awaitable<void> registerSelf();

private:
    void applyEntry(const SpaceObject &object);

    DecisionLog &m_log;
    std::shared_ptr<ObjectSpace> m_space;
    FleetPeers &m_peers;
};

} // namespace pistachiofall
