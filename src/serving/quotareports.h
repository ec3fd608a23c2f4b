#pragma once

#include "base/clock.h"
#include "fleet/quotalimiter.h"
#include "serving/fleetpeers.h"
#include "wire/messages.h"

#include <chrono>
#include <string>

namespace pistachiofall {

/// Exchanges with the other instances what was sent for each organisation: the counts of this
/// process, and those of processes that have ended, for peers that can not know them. Times include
/// those in which the machine was suspended. Not thread safe.
class QuotaReports
{
public:
    QuotaReports(const Clock &clock, const FleetPeers &peers, QuotaLimiter &quotas,
                 std::chrono::milliseconds window);

    void setWindow(std::chrono::milliseconds window);

    void handleReport(const std::string &peer, const wire::FleetReportT &report);
    void fillReport(const std::string &peer, wire::FleetReportT &report);
    /// Tells the limiter which peers do not run, and whether the history is known. To be called
    /// periodically.
    void tick();

private:
    void fillEnded(wire::FleetReportT &report) const;

    const Clock &m_clock;
    const FleetPeers &m_peers;
    QuotaLimiter &m_quotas;
    /// A process that has run for so long has counted for a whole window.
    std::chrono::milliseconds m_memory{0};
};

} // namespace pistachiofall
