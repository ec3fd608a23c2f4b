#pragma once

#include <string>
#include <vector>

namespace pistachiofall {

/// The number of instances of each failure domain that watch the rules in the store: two, so that
/// the loss of one delays no change, and not more, since an open watch counts as a call on the
/// store.
constexpr std::size_t WatchersPerFailureDomain = 2;

/// Returns whether the instance is one of the watchers among the live members of its failure
/// domain, itself included. All instances with the same members agree without messages.
bool isRulesWatcher(const std::string &instance, const std::vector<std::string> &domainMembers);

} // namespace pistachiofall
