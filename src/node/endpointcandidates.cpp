#include "node/endpointcandidates.h"

#include <utility>

namespace pistachiofall {

std::vector<std::string> endpointCandidates(RuleSet::Endpoints endpoints, const RuleSet &rules,
                                            const std::set<std::string> &tried)
{
    std::vector<std::string> all;
    std::vector<std::string> fresh;
    for (const EndpointRule *endpoint : endpoints) {
        if (endpoint->leaving || rules.isFailureDomainOut(endpoint->failureDomain))
            continue;
        all.push_back(endpoint->name);
        if (!tried.contains(endpoint->name))
            fresh.push_back(endpoint->name);
    }
    return fresh.empty() ? std::move(all) : std::move(fresh);
}

} // namespace pistachiofall
