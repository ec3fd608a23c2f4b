#include "node/ratechanges.h"

#include <cstdint>
#include <optional>

namespace pistachiofall {

RateLimit rateLimitOf(const OrganisationRule &rule)
{
    return {static_cast<std::int64_t>(rule.ratePerSecond * 1000),
            static_cast<std::int64_t>(rule.burst)};
}

void applyRateChanges(ShardRateLimiter &limits, const RuleSet &before, const RuleSet &after,
                      SteadyTime now)
{
    // Both tables are sorted by name and share the rules that did not change.
    const auto &oldRules = before.table<OrganisationRule>();
    const auto &newRules = after.table<OrganisationRule>();
    auto old = oldRules.begin();
    auto next = newRules.begin();
    while (old != oldRules.end() || next != newRules.end()) {
        if (next == newRules.end() || (old != oldRules.end() && (*old)->name < (*next)->name)) {
            limits.changeRate((*old)->name, std::nullopt, now);
            ++old;
        } else if (old == oldRules.end() || (*next)->name < (*old)->name) {
            limits.changeRate((*next)->name, rateLimitOf(**next), now);
            ++next;
        } else {
            if (*old != *next && rateLimitOf(**old) != rateLimitOf(**next))
                limits.changeRate((*next)->name, rateLimitOf(**next), now);
            ++old;
            ++next;
        }
    }
}

std::vector<OrganisationLimit> allLimits(const RuleSet &rules)
{
    std::vector<OrganisationLimit> limits;
    for (const auto &rule : rules.table<OrganisationRule>())
        limits.push_back({rule->name, rateLimitOf(*rule)});
    return limits;
}

} // namespace pistachiofall
