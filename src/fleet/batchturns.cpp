#include "fleet/batchturns.h"

#include "base/stablehash.h"

#include <utility>

namespace pistachiofall {

BatchTurns::BatchTurns(std::string instance)
    : m_instance(std::move(instance))
{ }

void BatchTurns::setWaiting(const std::string &peer,
                            const std::map<std::string, std::uint32_t> &items, bool isSameDomain)
{
    remove(peer);
    if (peer == m_instance)
        return;
    for (const auto &[service, count] : items) {
        if (count > 0)
            m_competitors[service][peer] = isSameDomain;
    }
}

void BatchTurns::remove(const std::string &peer)
{
    for (auto &[service, instances] : m_competitors)
        instances.erase(peer);
    std::erase_if(m_competitors, [](const auto &each) { return each.second.empty(); });
}

bool BatchTurns::hasTurn(const std::string &endpoint, const std::string &service, bool isSameDomain,
                         std::uint64_t turn) const
{
    const auto competitors = m_competitors.find(service);
    if (competitors == m_competitors.end())
        return true;
    // The instances take turns in the order of their names.
    std::uint64_t count = 1;
    std::uint64_t ownPosition = 0;
    for (const auto &[name, isNear] : competitors->second) {
        if (isSameDomain && !isNear)
            continue;
        ++count;
        if (name < m_instance)
            ++ownPosition;
    }
    return (stableHash(endpoint) + turn) % count == ownPosition;
}

} // namespace pistachiofall
