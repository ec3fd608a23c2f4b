#pragma once

#include <map>
#include <string>

namespace pistachiofall {

/// The target version of a model and the model's endpoints, as given by the rules.
struct RolloutTarget
{
    struct Endpoint
    {
        std::string failureDomain;
        /// False while the endpoint is leaving or its failure domain is out of service.
        bool isInService = true;
    };

    std::string version;
    /// The endpoints by name.
    std::map<std::string, Endpoint> endpoints;
};

} // namespace pistachiofall
