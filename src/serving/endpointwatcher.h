#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "fleet/endpointpool.h"
#include "serving/servingprotocol.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pistachiofall {

/// Keeps the endpoints of the board in step with their entries in the store. An endpoint whose
/// entry is missing after a store outage is kept for a grace period, because entries expire during
/// an outage and live endpoints register again. Not thread safe.
class EndpointWatcher
{
public:
    EndpointWatcher(const Clock &clock, DecisionLog &log, const ServingProtocol &protocol,
                    EndpointPool &board, std::chrono::milliseconds lapsedEntryGrace,
                    std::function<void()> onChange);

    void applyListing(const std::vector<SpaceObject> &objects);
    void applyEvent(const SpaceEvent &event);
    /// Starts the grace period: the store responds again after an outage.
    void storeRecovered(SteadyTime recoveredAt);
    /// Removes the endpoints whose grace period has ended without a new entry. Must be called
    /// periodically.
    void removeExpired();

private:
    void applyEntry(const SpaceObject &object);
    void remove(const std::string &id);

    const Clock &m_clock;
    DecisionLog &m_log;
    const ServingProtocol &m_protocol;
    EndpointPool &m_board;
    std::chrono::milliseconds m_lapsedEntryGrace;
    std::function<void()> m_onChange;
    /// Until then, a missing entry does not remove its endpoint at once.
    SteadyTime m_graceEnd{};
    /// Endpoints without an entry, and the time when each of them is removed.
    std::map<std::string, SteadyTime> m_missing;
};

} // namespace pistachiofall
