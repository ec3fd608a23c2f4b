#include "serving/quotareports.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace pistachiofall {

using std::chrono::milliseconds;

namespace {

// Covers the margin that the limiter adds to the window, and the reports that are on their way.
constexpr milliseconds MemoryMargin{500};

using Counts = std::map<std::string, std::uint32_t>;

std::vector<std::unique_ptr<wire::OrganisationUseT>> encode(const Counts &counts)
{
    std::vector<std::unique_ptr<wire::OrganisationUseT>> entries;
    for (const auto &[organisation, requests] : counts) {
        auto entry = std::make_unique<wire::OrganisationUseT>();
        entry->organisation = organisation;
        entry->requests = requests;
        entries.push_back(std::move(entry));
    }
    return entries;
}

Counts decode(const std::vector<std::unique_ptr<wire::OrganisationUseT>> &entries)
{
    Counts counts;
    for (const auto &entry : entries)
        counts[entry->organisation] = entry->requests;
    return counts;
}

} // namespace

QuotaReports::QuotaReports(const Clock &clock, const FleetPeers &peers, QuotaLimiter &quotas,
                           milliseconds window)
    : m_clock(clock)
    , m_peers(peers)
    , m_quotas(quotas)
{
    setWindow(window);
}

void QuotaReports::setWindow(milliseconds window)
{
    m_memory = window + MemoryMargin;
}

void QuotaReports::handleReport(const std::string &peer, const wire::FleetReportT &report)
{
    const auto now = m_clock.bootNow();
    if (report.sender->takesCallers)
        m_quotas.setPeerUsage(peer, decode(report.organisations), report.incarnation, now);
    for (const auto &process : report.endedProcesses) {
        const milliseconds age{process->ageMs};
        m_quotas.recordEnded({process->instance, process->incarnation,
                              decode(process->organisations), now - age},
                             now);
    }
}

void QuotaReports::fillReport(const std::string &peer, wire::FleetReportT &report)
{
    report.organisations = encode(m_quotas.localUsage(m_clock.bootNow()));
    if (m_peers.maySeeLess(peer, m_memory))
        fillEnded(report);
}

void QuotaReports::fillEnded(wire::FleetReportT &report) const
{
    const auto now = m_clock.bootNow();
    for (const QuotaLimiter::EndedProcess &process : m_quotas.endedProcesses(now)) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - process.counted);
        auto entry = std::make_unique<wire::EndedProcessT>();
        entry->instance = process.instance;
        entry->incarnation = process.incarnation;
        entry->ageMs = static_cast<std::uint32_t>(std::max(milliseconds{0}, age).count());
        entry->organisations = encode(process.use);
        report.endedProcesses.push_back(std::move(entry));
    }
}

void QuotaReports::tick()
{
    const auto now = m_clock.bootNow();
    for (const std::string &name : m_peers.stoppedNames())
        m_quotas.peerStopped(name, now);
    const bool isKnown = m_peers.isKnownByPeerWithUptimeAbove(m_memory)
            || m_peers.isWithoutEndedProcesses(m_memory);
    m_quotas.setHistoryKnown(isKnown, now);
}

} // namespace pistachiofall
