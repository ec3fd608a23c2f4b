#pragma once

#include "rules/ruleset.h"
#include "rules/rulessnapshot.h"

#include <cstdint>
#include <string>

namespace pistachiofall {

/// Describes why a file based on an older version than the one in force was not applied: who
/// applied each version since, what each version changed, and how the file differs from the rules
/// in force.
std::string describeConflict(std::uint64_t baseVersion, const RulesSnapshot &current,
                             const RuleSet &wanted);

} // namespace pistachiofall
