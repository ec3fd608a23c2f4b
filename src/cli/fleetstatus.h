#pragma once

#include "base/result.h"
#include "cli/instancestatus.h"
#include "store/listedinstance.h"

#include <string>
#include <vector>

namespace pistachiofall {

/// An entry of the instance list with the status of the instance, or the error of reading it.
struct FleetMember
{
    ListedInstance instance;
    Result<InstanceStatus> status;
};

/// Returns whether all instances answered with the same rule version and table epoch.
bool haveConsistentVersions(const std::vector<FleetMember> &members);

/// Returns the endpoints sorted by name, each with the load that its owner reports. An endpoint
/// whose owner did not answer has no load. The rest comes from the most up-to-date instance.
std::vector<EndpointStatus> mergeEndpoints(const std::vector<FleetMember> &members);

/// Formats the table of instances and the table of endpoints, followed by the table of rollouts if
/// there are any.
std::string formatFleetStatus(const std::vector<FleetMember> &members);

} // namespace pistachiofall
