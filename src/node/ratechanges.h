#pragma once

#include "coord/coordtimes.h"
#include "coord/shardratelimiter.h"
#include "rules/ruleset.h"

#include <vector>

namespace pistachiofall {

/// Tells the holder which rates differ between two rule sets, in the order of the organisations'
/// names.
void applyRateChanges(ShardRateLimiter &limits, const RuleSet &before, const RuleSet &after,
                      SteadyTime now);

/// The limit of one organisation in exact units.
RateLimit rateLimitOf(const OrganisationRule &rule);

/// The limits of all organisations. The names live as long as the rule set.
std::vector<OrganisationLimit> allLimits(const RuleSet &rules);

} // namespace pistachiofall
