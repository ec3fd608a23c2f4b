#include "fleet/domainusage.h"

#include <chrono>

namespace pistachiofall {

namespace {

// Several summaries of instances that know the whole failure domain come within this time.
constexpr std::chrono::milliseconds FullerSummaryTime{150};
// The reports of single instances are hardly older.
constexpr std::chrono::milliseconds SummaryLifetime{500};

} // namespace

std::size_t DomainUsage::indexOf(const std::string &failureDomain)
{
    const auto [found, isNew] = m_indexes.try_emplace(failureDomain, m_domains.size());
    if (isNew)
        m_domains.emplace_back();
    return found->second;
}

bool DomainUsage::accept(std::size_t domain, int instances, SteadyTime now)
{
    Domain &known = m_domains.at(domain);
    if (known.isSummarised && instances < known.instances && now - known.at < FullerSummaryTime)
        return false;
    known = {true, instances, now};
    return true;
}

bool DomainUsage::expire(SteadyTime now)
{
    bool hasExpired = false;
    for (Domain &domain : m_domains) {
        if (!domain.isSummarised || now - domain.at <= SummaryLifetime)
            continue;
        domain.isSummarised = false;
        hasExpired = true;
    }
    return hasExpired;
}

} // namespace pistachiofall
