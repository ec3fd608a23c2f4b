#include "serving/speedreports.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace pistachiofall {

namespace {

constexpr std::chrono::milliseconds MinInterval{1000};
constexpr std::chrono::milliseconds IntervalPerMember{50};
// 1 KB in a report.
constexpr std::size_t MaxPaces = 64;
constexpr double PaceUnits = 1000;

} // namespace

void SpeedReports::fillReport(const std::string &peer, std::size_t members,
                              wire::FleetReportT &report)
{
    const auto now = m_clock.now();
    Told &told = m_told[peer];
    const auto interval = std::max<std::chrono::milliseconds>(
            MinInterval, IntervalPerMember * static_cast<std::int64_t>(members));
    if (now - told.at < interval)
        return;
    for (const PaceSamples &each : m_speeds.changedSince(told.version, MaxPaces))
        report.paces.emplace_back(
                each.endpoint, static_cast<std::uint16_t>(each.count),
                static_cast<std::int16_t>(std::lround(each.meanLogRatio * PaceUnits)));
    told = {m_speeds.version(), now};
}

void SpeedReports::handleReport(const std::string &peer, const wire::FleetReportT &report)
{
    std::vector<PaceSamples> samples;
    for (const wire::EndpointPace &pace : report.paces)
        samples.push_back({pace.endpoint(), pace.count(), pace.logRatioPerThousand() / PaceUnits});
    m_speeds.setPeer(peer, samples);
}

} // namespace pistachiofall
