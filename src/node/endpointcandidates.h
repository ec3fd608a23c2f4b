#pragma once

#include "rules/ruleset.h"

#include <set>
#include <string>
#include <vector>

namespace pistachiofall {

/// The names of the endpoints that may get new work: not leaving, and in a failure domain that is
/// in service. Those in the set are left out, unless nothing else is left.
std::vector<std::string> endpointCandidates(RuleSet::Endpoints endpoints, const RuleSet &rules,
                                            const std::set<std::string> &tried);

} // namespace pistachiofall
