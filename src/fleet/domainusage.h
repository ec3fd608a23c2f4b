#pragma once

#include "coord/coordtimes.h"
#include "fleet/endpointusage.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pistachiofall {

/// The usage of one endpoint by all instances of a failure domain, with the endpoint's process by
/// the lower half of EndpointSpeeds::keyOf().
struct DomainUsageMark
{
    std::uint32_t endpoint = 0;
    EndpointUsage usage;
};

/// Which failure domains' usage of endpoints is known from summaries. The instances of a failure
/// domain report to each other often, so that each of them knows the usage by all of them; each
/// report to another failure domain carries that sum. With as many senders as the domain has
/// instances, the sum is known there many times as often as the usage by each single one.
///
/// Not thread safe.
class DomainUsage
{
public:
    /// The index of a failure domain, which stays the same.
    std::size_t indexOf(const std::string &failureDomain);
    std::size_t count() const { return m_domains.size(); }

    /// Whether a summary replaces the one before it: one that covers fewer instances, as that of an
    /// instance which has just started, does not for a while. Records it if so.
    bool accept(std::size_t domain, int instances, SteadyTime now);
    /// Whether the usage by the domain's instances is known from summaries.
    bool isSummarised(std::size_t domain) const { return m_domains.at(domain).isSummarised; }
    /// Gives up summaries that are too old, in favour of the reports of single instances. Returns
    /// whether there were any.
    bool expire(SteadyTime now);

private:
    struct Domain
    {
        bool isSummarised = false;
        int instances = 0;
        SteadyTime at{};
    };

    std::map<std::string, std::size_t> m_indexes;
    std::vector<Domain> m_domains;
};

} // namespace pistachiofall
