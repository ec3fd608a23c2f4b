#include "rollout/rolloutplanner.h"

#include "rollout/rollouttimes.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pistachiofall {

namespace {

// At most one in this many endpoints of a failure domain, but at least one, changes at a time.
constexpr std::size_t DomainChangeDivisor = 4;

} // namespace

RolloutPlanner::RolloutPlanner(SteadyTime start)
    : m_start(start)
{ }

void RolloutPlanner::setTarget(RolloutTarget target, const RolloutLimits &limits)
{
    m_limits = limits;
    m_target = std::move(target);
    std::erase_if(m_records,
                  [this](const auto &entry) { return !m_target.endpoints.contains(entry.first); });
}

std::set<std::string> RolloutPlanner::report(const std::vector<EndpointReport> &reports,
                                             SteadyTime now)
{
    std::vector<std::string> accepted;
    for (const EndpointReport &report : reports) {
        if (applyReport(report, now))
            accepted.push_back(report.endpoint);
    }
    std::set<std::string> permitted;
    for (const std::string &endpoint : accepted) {
        if (!mayChange(endpoint, now))
            continue;
        m_records[endpoint].isPermitted = true;
        permitted.insert(endpoint);
    }
    return permitted;
}

bool RolloutPlanner::applyReport(const EndpointReport &report, SteadyTime now)
{
    if (!m_target.endpoints.contains(report.endpoint))
        return false;
    EndpointRecord &record = m_records[report.endpoint];
    const std::pair latest(record.report.fencingToken, record.report.sequence);
    if (std::pair(report.fencingToken, report.sequence) <= latest)
        return false;
    // A new report ends an earlier permission: a driver that does not report the endpoint as
    // changing has not used the permission and has discarded it.
    record = EndpointRecord{report, now, false};
    return true;
}

bool RolloutPlanner::mayChange(const std::string &endpoint, SteadyTime now) const
{
    if (now < m_start + CoordinatorStartupDelay || !areAllReportsRecent(now)
        || !failedEndpoint().empty())
        return false;
    if (!isPending(m_records.at(endpoint)) || activeDomain() != domainOf(endpoint))
        return false;
    const auto changing =
            std::ranges::count_if(m_records, [](const auto &e) { return isChanging(e.second); });
    const std::size_t domainLimit =
            std::max<std::size_t>(1, domainSize(domainOf(endpoint)) / DomainChangeDivisor);
    const std::size_t maxChanging =
            std::min(domainLimit, std::max<std::size_t>(1, m_limits.maxLoads));
    return static_cast<std::size_t>(changing) < maxChanging && keepsMinInService(endpoint);
}

bool RolloutPlanner::isPending(const EndpointRecord &record) const
{
    return !record.isPermitted && record.report.phase == EndpointPhase::Serving
            && record.report.version != m_target.version;
}

bool RolloutPlanner::isServing(const EndpointRecord &record) const
{
    return m_target.endpoints.at(record.report.endpoint).isInService && !record.isPermitted
            && record.report.phase == EndpointPhase::Serving && !record.report.version.empty();
}

bool RolloutPlanner::isChanging(const EndpointRecord &record)
{
    return record.isPermitted || record.report.phase == EndpointPhase::Changing;
}

bool RolloutPlanner::areAllReportsRecent(SteadyTime now) const
{
    // An endpoint without a recent report may be changing with a former coordinator's permission.
    return std::ranges::all_of(m_target.endpoints, [&](const auto &endpoint) {
        const auto found = m_records.find(endpoint.first);
        return found != m_records.end() && now <= found->second.receivedAt + ReportLifetime;
    });
}

bool RolloutPlanner::keepsMinInService(const std::string &endpoint) const
{
    if (!isServing(m_records.at(endpoint)))
        return true;
    const auto serving = std::ranges::count_if(
            m_records, [this](const auto &entry) { return isServing(entry.second); });
    const auto total = std::ranges::count_if(
            m_target.endpoints, [](const auto &entry) { return entry.second.isInService; });
    const auto minServing = static_cast<std::ptrdiff_t>(
            std::ceil(m_limits.minInService * static_cast<double>(total)));
    // All endpoints but one are always enough; otherwise the version of a model with few endpoints
    // could never change.
    return serving - 1 >= std::min(minServing, total - 1);
}

std::optional<std::string> RolloutPlanner::activeDomain() const
{
    std::optional<std::string> firstPending;
    for (const auto &[name, record] : m_records) {
        const std::string &domain = domainOf(name);
        if (isChanging(record))
            return domain;
        if (isPending(record) && (!firstPending || domain < *firstPending))
            firstPending = domain;
    }
    return firstPending;
}

std::string RolloutPlanner::failedEndpoint() const
{
    const auto failed = std::ranges::find_if(m_records, [this](const auto &entry) {
        return entry.second.report.failedVersion == m_target.version;
    });
    return failed == m_records.end() ? std::string() : failed->first;
}

const std::string &RolloutPlanner::domainOf(const std::string &endpoint) const
{
    return m_target.endpoints.at(endpoint).failureDomain;
}

std::size_t RolloutPlanner::domainSize(const std::string &domain) const
{
    return static_cast<std::size_t>(
            std::ranges::count_if(m_target.endpoints, [&domain](const auto &entry) {
                return entry.second.failureDomain == domain;
            }));
}

RolloutProgress RolloutPlanner::progress(SteadyTime now) const
{
    RolloutProgress progress;
    progress.version = m_target.version;
    progress.failedEndpoint = failedEndpoint();
    for (const auto &[name, endpoint] : m_target.endpoints) {
        const auto found = m_records.find(name);
        const bool isRecent =
                found != m_records.end() && now <= found->second.receivedAt + ReportLifetime;
        if (!isRecent || found->second.report.phase == EndpointPhase::Unreachable)
            ++progress.unknown;
        else if (isChanging(found->second))
            ++progress.changing;
        else if (found->second.report.version == m_target.version)
            ++progress.current;
        else
            ++progress.pending;
    }
    return progress;
}

} // namespace pistachiofall
