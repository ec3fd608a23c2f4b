#pragma once

#include "base/clock.h"
#include "coord/coordtimes.h"
#include "fleet/endpointspeeds.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace pistachiofall {

/// Shares the pace of endpoints with the peers, inside the reports that are sent anyway. Each peer
/// is told what has changed since it was last told, at an interval that grows with the fleet, so
/// that the bytes an instance sends do not. Not thread safe.
class SpeedReports
{
public:
    SpeedReports(const Clock &clock, EndpointSpeeds &speeds)
        : m_clock(clock)
        , m_speeds(speeds)
    { }

    void fillReport(const std::string &peer, std::size_t members, wire::FleetReportT &report);
    void handleReport(const std::string &peer, const wire::FleetReportT &report);

private:
    struct Told
    {
        std::uint64_t version = 0;
        SteadyTime at{};
    };

    const Clock &m_clock;
    EndpointSpeeds &m_speeds;
    std::map<std::string, Told> m_told;
};

} // namespace pistachiofall
