#pragma once

#include "base/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall {

/// The status of an endpoint as reported by one instance.
struct EndpointStatus
{
    std::string name;
    std::string owner;
    /// Empty unless reported by the instance that owns the endpoint.
    std::optional<std::int64_t> inFlight;
    std::optional<std::int64_t> limit;
    bool isFailureDomainOut = false;
    bool isLeaving = false;
};

/// The progress of rolling out a model version, as reported by the coordinating instance.
struct RolloutStatus
{
    std::string model;
    std::string version;
    std::int64_t current = 0;
    std::int64_t changing = 0;
    std::int64_t pending = 0;
    std::int64_t unknown = 0;
    /// The endpoint that failed to load the version; empty if none failed.
    std::string failedEndpoint;
};

/// The content of /status of one instance.
struct InstanceStatus
{
    std::string instance;
    std::string failureDomain;
    /// The reason why the instance is not ready; empty when it is.
    std::string notReady;
    std::int64_t rulesVersion = 0;
    std::int64_t tableEpoch = 0;
    /// The numbers of shards of which this instance is the first and the second holder.
    std::int64_t firstPlaces = 0;
    std::int64_t secondPlaces = 0;
    bool isIsolated = false;
    std::vector<EndpointStatus> endpoints;
    /// The rollouts that this instance coordinates.
    std::vector<RolloutStatus> rollouts;
};

/// Parses the JSON of /status. ProtocolError when the text is not a JSON object. Missing fields and
/// fields of another type get defaults, so that the status of other software versions can be read.
Result<InstanceStatus> parseInstanceStatus(std::string_view text);

} // namespace pistachiofall
