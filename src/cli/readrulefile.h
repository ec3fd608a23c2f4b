#pragma once

#include "base/result.h"
#include "rules/rulefile.h"

#include <string>

namespace pistachiofall {

/// Reads and validates a rule file. NotFound when it cannot be read. Each line of a validation
/// error starts with the file name.
Result<RuleFile> readRuleFile(const std::string &path);

} // namespace pistachiofall
