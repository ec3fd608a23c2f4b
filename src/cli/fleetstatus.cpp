#include "cli/fleetstatus.h"

#include "cli/texttable.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace pistachiofall {

namespace {

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

std::string numberText(const std::optional<std::int64_t> &number)
{
    return number ? std::to_string(*number) : std::string();
}

std::vector<std::string> instanceRow(const FleetMember &member)
{
    const std::string &name = member.instance.name;
    if (!isOk(member.status)) {
        return {name,
                member.instance.failureDomain,
                "no answer: " + errorOf(member.status).message,
                "",
                "",
                "",
                ""};
    }
    const InstanceStatus &status = valueOf(member.status);
    return {name,
            status.failureDomain,
            status.notReady.empty() ? "yes" : "no: " + status.notReady,
            std::to_string(status.rulesVersion),
            std::to_string(status.tableEpoch),
            std::to_string(status.firstPlaces) + "+" + std::to_string(status.secondPlaces),
            yesNo(status.isIsolated)};
}

std::string formatRollouts(const std::vector<FleetMember> &members)
{
    std::vector<std::vector<std::string>> rows{
            {"MODEL", "VERSION", "CURRENT", "CHANGING", "PENDING", "UNKNOWN", "STOPPED"}};
    for (const FleetMember &member : members) {
        if (!isOk(member.status))
            continue;
        for (const RolloutStatus &rollout : valueOf(member.status).rollouts) {
            const std::string &failed = rollout.failedEndpoint;
            rows.push_back({rollout.model, rollout.version, std::to_string(rollout.current),
                            std::to_string(rollout.changing), std::to_string(rollout.pending),
                            std::to_string(rollout.unknown),
                            failed.empty() ? "no" : "failed on " + failed});
        }
    }
    return rows.size() == 1 ? std::string() : "\n" + formatTable(rows);
}

} // namespace

bool haveConsistentVersions(const std::vector<FleetMember> &members)
{
    const InstanceStatus *first = nullptr;
    for (const FleetMember &member : members) {
        if (!isOk(member.status))
            return false;
        const InstanceStatus &status = valueOf(member.status);
        if (first == nullptr)
            first = &status;
        if (status.rulesVersion != first->rulesVersion || status.tableEpoch != first->tableEpoch)
            return false;
    }
    return true;
}

std::vector<EndpointStatus> mergeEndpoints(const std::vector<FleetMember> &members)
{
    // Instances differ while a change propagates, so the one with the newest versions is used.
    std::vector<const InstanceStatus *> newestFirst;
    for (const FleetMember &member : members) {
        if (isOk(member.status))
            newestFirst.push_back(&valueOf(member.status));
    }
    std::ranges::stable_sort(newestFirst, [](const auto *left, const auto *right) {
        return std::pair(left->rulesVersion, left->tableEpoch)
                > std::pair(right->rulesVersion, right->tableEpoch);
    });
    std::map<std::string, EndpointStatus> merged;
    if (!newestFirst.empty()) {
        for (EndpointStatus endpoint : newestFirst.front()->endpoints) {
            endpoint.inFlight.reset();
            endpoint.limit.reset();
            merged.emplace(endpoint.name, std::move(endpoint));
        }
    }
    for (const InstanceStatus *status : newestFirst) {
        for (const EndpointStatus &endpoint : status->endpoints) {
            const auto known = merged.find(endpoint.name);
            if (known == merged.end() || known->second.owner != status->instance)
                continue;
            known->second.inFlight = endpoint.inFlight;
            known->second.limit = endpoint.limit;
        }
    }
    std::vector<EndpointStatus> endpoints;
    for (auto &[name, endpoint] : merged)
        endpoints.push_back(std::move(endpoint));
    return endpoints;
}

std::string formatFleetStatus(const std::vector<FleetMember> &members)
{
    std::vector<std::vector<std::string>> instances{
            {"INSTANCE", "FAILURE DOMAIN", "READY", "RULES", "EPOCH", "PLACES", "ISOLATED"}};
    for (const FleetMember &member : members)
        instances.push_back(instanceRow(member));
    std::vector<std::vector<std::string>> endpoints{
            {"ENDPOINT", "OWNER", "IN FLIGHT", "LIMIT", "DOMAIN OUT", "LEAVING"}};
    for (const EndpointStatus &endpoint : mergeEndpoints(members)) {
        endpoints.push_back({endpoint.name, endpoint.owner, numberText(endpoint.inFlight),
                             numberText(endpoint.limit), yesNo(endpoint.isFailureDomainOut),
                             yesNo(endpoint.isLeaving)});
    }
    return formatTable(instances) + "\n" + formatTable(endpoints) + formatRollouts(members);
}

} // namespace pistachiofall
