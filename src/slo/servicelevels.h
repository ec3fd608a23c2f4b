#pragma once

#include "metrics/metricsregistry.h"
#include "settings/objectivesettings.h"
#include "slo/objective.h"

#include <chrono>
#include <string>

namespace pistachiofall {

/// The name of the counter of all events covered by an objective.
inline constexpr const char *SloRequestsMetric = "slo_requests_total";
/// The name of the counter of the events that missed the objective.
inline constexpr const char *SloBadMetric = "slo_bad_total";

/// Counts how often requests of one organisation to one target (a model or the path of a route)
/// meet or miss the objectives. The counters are owned by the registry, which must outlive this
/// object. Use one object per request; different objects may be used by different threads.
class ServiceLevels
{
public:
    ServiceLevels(MetricsRegistry &metrics, const ObjectiveSettings &objectives, std::string target,
                  std::string organisation);

    void recordAvailability(bool isGood);
    void recordFirstToken(std::chrono::nanoseconds elapsed);
    void recordTokenGap(std::chrono::nanoseconds gap);

private:
    struct Counters
    {
        Counter *requests = nullptr;
        Counter *bad = nullptr;
    };
    Counters countersOf(Objective objective) const;
    static void record(const Counters &counters, bool isGood);

    MetricsRegistry &m_metrics;
    const std::chrono::nanoseconds m_maxTimeToFirstToken;
    const std::chrono::nanoseconds m_maxTokenGap;
    const std::string m_target;
    const std::string m_organisation;
    // Cached because a stream has thousands of gaps, and each lookup by name locks the registry.
    Counters m_gapCounters;
};

} // namespace pistachiofall
