#include "slo/servicelevels.h"

#include <utility>

namespace pistachiofall {

ServiceLevels::ServiceLevels(MetricsRegistry &metrics, const ObjectiveSettings &objectives,
                             std::string target, std::string organisation)
    : m_metrics(metrics)
    , m_maxTimeToFirstToken(objectives.firstToken)
    , m_maxTokenGap(objectives.tokenGap)
    , m_target(std::move(target))
    , m_organisation(std::move(organisation))
{ }

void ServiceLevels::recordAvailability(bool isGood)
{
    record(countersOf(Objective::Availability), isGood);
}

void ServiceLevels::recordFirstToken(std::chrono::nanoseconds elapsed)
{
    record(countersOf(Objective::FirstToken), elapsed <= m_maxTimeToFirstToken);
}

void ServiceLevels::recordTokenGap(std::chrono::nanoseconds gap)
{
    if (m_gapCounters.requests == nullptr)
        m_gapCounters = countersOf(Objective::TokenGap);
    record(m_gapCounters, gap <= m_maxTokenGap);
}

ServiceLevels::Counters ServiceLevels::countersOf(Objective objective) const
{
    const Labels labels{{"objective", std::string(toString(objective))},
                        {"target", m_target},
                        {"organisation", m_organisation}};
    return {&m_metrics.counter(SloRequestsMetric, labels),
            &m_metrics.counter(SloBadMetric, labels)};
}

void ServiceLevels::record(const Counters &counters, bool isGood)
{
    counters.requests->add();
    if (!isGood)
        counters.bad->add();
}

} // namespace pistachiofall
