#include "node/rolloutcoordinator.h"

#include "base/log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pistachiofall {

namespace {

EndpointPhase fromWire(wire::EndpointPhase phase)
{
    switch (phase) {
    case wire::EndpointPhase::Serving:
        return EndpointPhase::Serving;
    case wire::EndpointPhase::Changing:
        return EndpointPhase::Changing;
    case wire::EndpointPhase::Unreachable:
        return EndpointPhase::Unreachable;
    }
    return EndpointPhase::Unreachable;
}

RolloutTarget targetFor(const ModelRule &model, const RuleSet &rules)
{
    RolloutTarget target;
    target.version = model.version;
    for (const auto &endpoint : rules.endpointsOfModel(model.name)) {
        const bool isInService =
                !endpoint->leaving && !rules.isFailureDomainOut(endpoint->failureDomain);
        target.endpoints[endpoint->name] = {endpoint->failureDomain, isInService};
    }
    return target;
}

} // namespace

RolloutCoordinator::RolloutCoordinator(const Clock &clock, MetricsRegistry &metrics,
                                       const RolloutSettings &settings, Coordination &coordination,
                                       EpochOf epochOf)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_coordination(coordination)
    , m_epochOf(std::move(epochOf))
{ }

wire::RolloutReplyT RolloutCoordinator::report(const wire::RolloutReportT &report)
{
    wire::RolloutReplyT reply;
    const RuleSet::Ptr rules = m_coordination.rules().rules();
    const ModelRule *model = rules->model(report.model);
    const std::scoped_lock lock(m_mutex);
    const auto now = m_clock.now();
    const auto epoch = m_epochOf(report.model);
    if (model == nullptr || !epoch)
        return reply;
    auto found = m_rollouts.find(report.model);
    if (found == m_rollouts.end() || found->second.epoch != *epoch) {
        Rollout rollout{*epoch, RolloutPlanner(now), false};
        found = m_rollouts.insert_or_assign(report.model, std::move(rollout)).first;
    }
    RolloutPlanner &planner = found->second.planner;
    planner.setTarget(targetFor(*model, *rules), limitsFor(*rules));
    std::vector<EndpointReport> reports;
    for (const auto &endpoint : report.endpoints) {
        reports.push_back({endpoint->endpoint, endpoint->version, endpoint->failedVersion,
                           fromWire(endpoint->phase), endpoint->fencing, report.sequence});
    }
    for (const std::string &endpoint : planner.report(reports, now))
        reply.permitted.push_back(endpoint);
    show(report.model, found->second, now);
    return reply;
}

RolloutLimits RolloutCoordinator::limitsFor(const RuleSet &rules) const
{
    // Each model has its own coordinator, so each gets its part of the loads of the fleet.
    const std::size_t models = std::max<std::size_t>(1, rules.table<ModelRule>().size());
    return {m_settings.minInService, std::max<std::size_t>(1, m_settings.maxLoads / models)};
}

void RolloutCoordinator::show(const std::string &model, Rollout &rollout, SteadyTime now)
{
    const RolloutProgress progress = rollout.planner.progress(now);
    const bool isStopped = !progress.failedEndpoint.empty();
    m_metrics.gauge("rollout_stopped", {{"model", model}}).set(isStopped ? 1 : 0);
    if (isStopped && !rollout.isStopped) {
        logWarning("rollout stopped: the version does not load",
                   {{"model", model},
                    {"version", progress.version},
                    {"endpoint", progress.failedEndpoint}});
    }
    rollout.isStopped = isStopped;
}

std::map<std::string, RolloutProgress> RolloutCoordinator::progress()
{
    const std::scoped_lock lock(m_mutex);
    const auto now = m_clock.now();
    std::map<std::string, RolloutProgress> result;
    std::erase_if(m_rollouts, [this](const auto &entry) {
        const bool isHeld = m_epochOf(entry.first) == entry.second.epoch;
        if (!isHeld)
            m_metrics.gauge("rollout_stopped", {{"model", entry.first}}).set(0);
        return !isHeld;
    });
    for (const auto &[model, rollout] : m_rollouts)
        result[model] = rollout.planner.progress(now);
    return result;
}

} // namespace pistachiofall
