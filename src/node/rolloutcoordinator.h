#pragma once

#include "base/clock.h"
#include "metrics/metricsregistry.h"
#include "node/coordination.h"
#include "rollout/rolloutplanner.h"
#include "settings/rolloutsettings.h"
#include "wire/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace pistachiofall {

/// Answers the reports of drivers for the models whose shards this instance holds. Thread safe.
class RolloutCoordinator
{
public:
    /// The epoch at which this instance was assigned the name's shard; nothing when it does not
    /// hold it or is isolated.
    using EpochOf = std::function<std::optional<std::uint64_t>(const std::string &)>;

    RolloutCoordinator(const Clock &clock, MetricsRegistry &metrics,
                       const RolloutSettings &settings, Coordination &coordination,
                       EpochOf epochOf);

    wire::RolloutReplyT report(const wire::RolloutReportT &report);

    /// The rollouts that this instance coordinates, by model.
    std::map<std::string, RolloutProgress> progress();

private:
    struct Rollout
    {
        std::uint64_t epoch = 0;
        RolloutPlanner planner;
        bool isStopped = false;
    };

    void show(const std::string &model, Rollout &rollout, SteadyTime now);
    RolloutLimits limitsFor(const RuleSet &rules) const;

    const Clock &m_clock;
    MetricsRegistry &m_metrics;
    const RolloutSettings m_settings;
    Coordination &m_coordination;
    const EpochOf m_epochOf;
    std::mutex m_mutex;
    std::map<std::string, Rollout> m_rollouts;
};

} // namespace pistachiofall
