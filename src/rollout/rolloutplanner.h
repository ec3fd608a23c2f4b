#pragma once

#include "coord/coordtimes.h"
#include "rollout/endpointreport.h"
#include "rollout/rolloutlimits.h"
#include "rollout/rolloutprogress.h"
#include "rollout/rollouttarget.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pistachiofall {

/// Decides which endpoints of a model may load the model's target version. Changes one failure
/// domain at a time, limits the number of simultaneous changes, and permits none after a failed
/// load. Runs at the model's rollout coordinator. Its state is rebuilt from reports, so a new
/// coordinator needs no stored state. Not thread-safe.
class RolloutPlanner
{
public:
    /// Permits no change until CoordinatorStartupDelay after the start.
    explicit RolloutPlanner(SteadyTime start);

    /// Replaces the target and the limits, and discards the state of endpoints that are not in the
    /// target.
    void setTarget(RolloutTarget target, const RolloutLimits &limits);

    /// Processes the reports of a driver and returns the reported endpoints that may change now. A
    /// permission is valid until the endpoint's next report, so it needs no acknowledgement.
    /// Ignores reports that are not newer than the last one of the endpoint.
    std::set<std::string> report(const std::vector<EndpointReport> &reports, SteadyTime now);

    /// Returns the state of the rollout according to the recent reports.
    RolloutProgress progress(SteadyTime now) const;

private:
    struct EndpointRecord
    {
        EndpointReport report;
        SteadyTime receivedAt;
        bool isPermitted = false;
    };

    bool applyReport(const EndpointReport &report, SteadyTime now);
    bool mayChange(const std::string &endpoint, SteadyTime now) const;
    bool isPending(const EndpointRecord &record) const;
    bool isServing(const EndpointRecord &record) const;
    static bool isChanging(const EndpointRecord &record);
    bool areAllReportsRecent(SteadyTime now) const;
    bool keepsMinInService(const std::string &endpoint) const;
    std::optional<std::string> activeDomain() const;
    std::string failedEndpoint() const;
    const std::string &domainOf(const std::string &endpoint) const;
    std::size_t domainSize(const std::string &domain) const;

    SteadyTime m_start;
    RolloutLimits m_limits;
    RolloutTarget m_target;
    std::map<std::string, EndpointRecord> m_records;
};

} // namespace pistachiofall
