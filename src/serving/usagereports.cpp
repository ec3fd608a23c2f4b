#include "serving/usagereports.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace pistachiofall {

namespace {

// Summaries are worth their bytes where single reports come less than half as often as inside the
// failure domain.
constexpr int MinIntervalRatio = 2;

std::uint8_t cappedCount(std::uint32_t count)
{
    constexpr std::uint32_t Most = std::numeric_limits<std::uint8_t>::max();
    return static_cast<std::uint8_t>(std::min(count, Most));
}

} // namespace

UsageReports::UsageReports(const Clock &clock, const FleetSettings &settings, FleetPeers &peers,
                           EndpointPool &endpoints)
    : m_clock(clock)
    , m_settings(settings)
    , m_peers(peers)
    , m_endpoints(endpoints)
{ }

void UsageReports::membersChanged()
{
    m_isSummarising = shouldSummarise();
    m_endpoints.setUsageAge(usageAge());
}

void UsageReports::tick()
{
    if (m_isSummarising)
        m_domainInstances = m_peers.liveInDomain();
}

bool UsageReports::shouldSummarise() const
{
    const UsageAge age = m_peers.reportIntervals();
    return m_settings.summarisesUsage && age.otherDomain > age.sameDomain * MinIntervalRatio;
}

UsageAge UsageReports::usageAge() const
{
    const UsageAge age = m_peers.reportIntervals();
    if (!m_isSummarising)
        return age;
    return {age.sameDomain, std::min(age.otherDomain, age.sameDomain + m_peers.summaryInterval())};
}

void UsageReports::fillReport(const std::string &peer, wire::FleetReportT &report)
{
    for (const auto &[id, use] : m_endpoints.localUsage()) {
        auto entry = std::make_unique<wire::EndpointUseT>();
        entry->endpoint = id;
        entry->online = static_cast<std::uint16_t>(use.online);
        entry->batch = static_cast<std::uint16_t>(use.batch);
        report.endpoints.push_back(std::move(entry));
    }
    if (m_settings.sharesFailures) {
        for (const FailureMark &mark : m_endpoints.failures().own(m_clock.now()))
            report.failures.emplace_back(mark.endpoint, cappedCount(mark.count));
    }
    if (m_isSummarising && m_peers.isFar(peer))
        fillSummary(report);
}

void UsageReports::fillSummary(wire::FleetReportT &report)
{
    report.domainInstances = static_cast<std::uint16_t>(m_domainInstances);
    for (const DomainUsageMark &mark : m_endpoints.usageByDomain(m_settings.failureDomain))
        report.domainUsage.emplace_back(mark.endpoint,
                                        cappedCount(static_cast<std::uint32_t>(mark.usage.online)),
                                        cappedCount(static_cast<std::uint32_t>(mark.usage.batch)));
}

void UsageReports::handleReport(const std::string &peer, const wire::FleetReportT &report)
{
    const auto now = m_clock.now();
    const std::string &domain = report.sender->failureDomain;
    std::map<std::string, EndpointUsage> use;
    for (const auto &each : report.endpoints)
        use[each->endpoint] = {each->online, each->batch};
    m_endpoints.setPeerDomain(peer, domain);
    m_endpoints.setPeerUsage(peer, std::move(use), now);
    std::vector<FailureMark> failures;
    for (const wire::EndpointFailures &each : report.failures)
        failures.push_back({each.endpoint(), each.count()});
    m_endpoints.failures().setPeer(peer, failures);
    const bool hasSummary = m_settings.summarisesUsage && report.domainInstances > 0
            && domain != m_settings.failureDomain;
    if (!hasSummary)
        return;
    std::vector<DomainUsageMark> marks;
    for (const wire::DomainUse &each : report.domainUsage)
        marks.push_back({each.endpoint(), {each.online(), each.batch()}});
    m_endpoints.setDomainUsage(domain, report.domainInstances, marks, now);
}

} // namespace pistachiofall
