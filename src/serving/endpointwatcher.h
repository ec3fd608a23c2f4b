#pragma once

#include "base/clock.h"
#include "base/decisionlog.h"
#include "fleet/endpointboard.h"
#include "serving/servingprotocol.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pistachiofall {

/// Keeps the board's endpoints as their entries in the store say. An entry that is missing after
/// the store was away is kept for a time, since entries lapse with it and living endpoints come
/// back. It lives on one thread.
class EndpointWatcher
{
public:
    EndpointWatcher(const Clock &clock, DecisionLog &log, const ServingProtocol &protocol,
                    EndpointBoard &board, std::chrono::milliseconds lapsedEntryGrace,
                    std::function<void()> changed);

    void applyListing(const std::vector<SpaceObject> &objects);
    void applyEvent(const SpaceEvent &event);
    /// The store answers again.
    void storeRecovered();
    /// Removes what is still missing. Call it every so often.
    void removeExpired();

private:
    void applyEntry(const SpaceObject &object);
    void remove(const std::string &id);

    const Clock &m_clock;
    DecisionLog &m_log;
    const ServingProtocol &m_protocol;
    EndpointBoard &m_board;
    std::chrono::milliseconds m_lapsedEntryGrace;
    std::function<void()> m_changed;
    /// Entries lapse without a sign until then.
    SteadyTime m_graceEnd{};
    /// Endpoints without an entry, and when they are taken as gone.
    std::map<std::string, SteadyTime> m_missing;
};

} // namespace pistachiofall
