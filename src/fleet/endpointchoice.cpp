#include "fleet/endpointchoice.h"

#include "base/stablehash.h"

#include <chrono>
#include <cmath>

namespace pistachiofall {

namespace {

// The network path to the endpoints of another failure domain is longer.
constexpr double OtherDomainWeight = 0.25;
constexpr double ColdWeight = 0.1;
// A batch item in another failure domain is preempted late when an online request needs its slot.
constexpr double OtherDomainBatchWeight = 0.05;

// Weighted rendezvous hashing: the candidate with the lowest value is chosen, each in proportion to
// its weight, and equal keys choose the same candidate.
double weightedRank(std::string_view key, std::string_view candidate, double weight)
{
    constexpr double HashRange = 18446744073709551616.0;
    const double point = (static_cast<double>(rendezvousRank(key, candidate)) + 1) / HashRange;
    return -std::log(point) / weight;
}

} // namespace

EndpointChoice::EndpointChoice(std::string_view key, const UsageAge &usageAge)
    : m_key(key)
    , m_usageAge(usageAge)
{ }

bool EndpointChoice::take(const Score &score)
{
    if (m_best && !(score < *m_best))
        return false;
    m_best = score;
    return true;
}

// The longer the usage of an endpoint by others stays unknown, the more requests of instances that
// do not know of each other meet there.
double EndpointChoice::otherDomainWeight() const
{
    if (m_usageAge.otherDomain <= m_usageAge.sameDomain)
        return OtherDomainWeight;
    const std::chrono::duration<double> sameDomain = m_usageAge.sameDomain;
    return OtherDomainWeight * (sameDomain / m_usageAge.otherDomain);
}

bool EndpointChoice::offerOnline(const EndpointCandidate &candidate)
{
    const EndpointUsage &usage = candidate.usage;
    const bool isFull = usage.total() >= candidate.slots;
    if (isFull && (usage.batch == 0 || usage.online >= candidate.slots))
        return false;
    // The weight is the square of the number of free slots: an engine is nearly as fast with many
    // requests as with few, and instances whose reports are equally old must not all choose the
    // endpoint with the most free slots.
    const int freeSlots = candidate.slots - (isFull ? usage.online : usage.total());
    double weight = static_cast<double>(freeSlots) * freeSlots * candidate.preference;
    if (candidate.isOtherDomain)
        weight *= otherDomainWeight();
    if (candidate.isCold)
        weight *= ColdWeight;
    return take({isFull, weightedRank(m_key, candidate.id, weight)});
}

bool EndpointChoice::offerBatch(const EndpointCandidate &candidate, int slotsToLeave)
{
    const int available = candidate.slots - candidate.usage.total() - slotsToLeave;
    if (available <= 0)
        return false;
    double weight = static_cast<double>(available) * available * candidate.preference;
    if (candidate.isOtherDomain)
        weight *= OtherDomainBatchWeight;
    if (candidate.isCold)
        weight *= ColdWeight;
    return take({false, weightedRank(m_key, candidate.id, weight)});
}

} // namespace pistachiofall
