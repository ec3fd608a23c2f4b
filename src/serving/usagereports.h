#pragma once

#include "base/clock.h"
#include "fleet/endpointpool.h"
#include "fleet/placement.h"
#include "serving/fleetpeers.h"
#include "settings/fleetsettings.h"
#include "wire/messages.h"

#include <string>

namespace pistachiofall {

/// The part of the reports between instances that tells of the use of endpoints: the use by the
/// sender, the summary of its failure domain for instances of others, and the failures that the
/// sender has seen. Not thread safe.
class UsageReports
{
public:
    UsageReports(const Clock &clock, const FleetSettings &settings, FleetPeers &peers,
                 EndpointPool &endpoints);

    void fillReport(const std::string &peer, wire::FleetReportT &report);
    void handleReport(const std::string &peer, const wire::FleetReportT &report);

    /// The set of known instances has changed, and so have the intervals of reports.
    void membersChanged();
    /// To be called periodically.
    void tick();

private:
    bool shouldSummarise() const;
    UsageAge usageAge() const;
    void fillSummary(wire::FleetReportT &report);

    const Clock &m_clock;
    const FleetSettings &m_settings;
    FleetPeers &m_peers;
    EndpointPool &m_endpoints;
    /// Kept, because each report needs them: whether reports to other failure domains carry
    /// summaries, and the live instances that these cover.
    bool m_isSummarising = false;
    int m_domainInstances = 1;
};

} // namespace pistachiofall
