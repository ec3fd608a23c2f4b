#include "coord/ruleswatchers.h"

#include "base/stablehash.h"

#include <algorithm>

namespace pistachiofall {

bool isRulesWatcher(const std::string &instance, const std::vector<std::string> &domainMembers)
{
    constexpr std::string_view Key = "rules-watcher";
    const auto ownRank = rendezvousRank(Key, instance);
    const auto lower = std::count_if(
            domainMembers.begin(), domainMembers.end(), [&](const std::string &member) {
                return member != instance && rendezvousRank(Key, member) < ownRank;
            });
    return lower < static_cast<std::ptrdiff_t>(WatchersPerFailureDomain);
}

} // namespace pistachiofall
