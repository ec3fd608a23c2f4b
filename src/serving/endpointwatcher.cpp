#include "serving/endpointwatcher.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pistachiofall {

EndpointWatcher::EndpointWatcher(const Clock &clock, DecisionLog &log,
                                 const ServingProtocol &protocol, EndpointPool &board,
                                 std::chrono::milliseconds lapsedEntryGrace,
                                 std::function<void()> onChange)
    : m_clock(clock)
    , m_log(log)
    , m_protocol(protocol)
    , m_board(board)
    , m_lapsedEntryGrace(lapsedEntryGrace)
    , m_onChange(std::move(onChange))
{ }

void EndpointWatcher::applyListing(const std::vector<SpaceObject> &objects)
{
    std::set<std::string> listed;
    for (const SpaceObject &object : objects) {
        listed.insert(object.name);
        applyEntry(object);
    }
    for (const std::string &id : m_board.ids()) {
        if (!listed.contains(id))
            remove(id);
    }
    m_onChange();
}

void EndpointWatcher::applyEvent(const SpaceEvent &event)
{
    if (event.isRemoved)
        remove(event.object.name);
    else
        applyEntry(event.object);
    m_onChange();
}

void EndpointWatcher::applyEntry(const SpaceObject &object)
{
    const auto endpoint = m_protocol.decodeEndpoint(object);
    if (!isOk(endpoint)) {
        m_log.warning("endpoint_unreadable",
                      {{"endpoint", object.name}, {"reason", errorOf(endpoint).message}});
        // The object is not an endpoint. If it was one before, that endpoint is removed.
        remove(object.name);
        return;
    }
    m_missing.erase(object.name);
    const FleetEndpoint &entry = valueOf(endpoint);
    if (m_board.update(entry, m_clock.now()))
        m_log.info("endpoint_seen",
                   {{"endpoint", entry.id},
                    {"service", entry.service},
                    {"address", entry.address.toString()},
                    {"domain", entry.failureDomain},
                    {"draining", entry.isDraining ? "yes" : "no"},
                    {"cold_ms", std::int64_t{entry.coldRemaining.count()}},
                    {"revision", object.revision}});
}

void EndpointWatcher::remove(const std::string &id)
{
    if (m_board.find(id) == nullptr)
        return;
    const auto now = m_clock.now();
    if (now < m_graceEnd) {
        if (m_missing.emplace(id, m_graceEnd).second)
            m_log.info("endpoint_lapsed", {{"endpoint", id}});
        return;
    }
    m_missing.erase(id);
    m_board.remove(id);
    m_log.info("endpoint_gone", {{"endpoint", id}});
}

void EndpointWatcher::storeRecovered(SteadyTime recoveredAt)
{
    m_graceEnd = std::max(m_graceEnd, recoveredAt + m_lapsedEntryGrace);
}

void EndpointWatcher::removeExpired()
{
    const auto now = m_clock.now();
    std::vector<std::string> gone;
    for (const auto &[id, end] : m_missing) {
        if (now >= end)
            gone.push_back(id);
    }
    for (const std::string &id : gone) {
        m_missing.erase(id);
        m_board.remove(id);
        m_log.info("endpoint_gone", {{"endpoint", id}, {"reason", "lapsed"}});
    }
    if (!gone.empty())
        m_onChange();
}

} // namespace pistachiofall
