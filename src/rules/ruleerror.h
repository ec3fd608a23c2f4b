#pragma once

#include "base/error.h"

#include <cstddef>
#include <string>
#include <vector>

namespace pistachiofall {

/// A fault of a rule file, with its place.
struct RuleError
{
    /// From 1.
    std::size_t line = 0;
    /// In bytes, from 1.
    std::size_t column = 0;
    std::string message;
};

/// One error whose message has a line "line N, column N: ..." for each fault, in the order of the
/// file.
Error joinRuleErrors(std::vector<RuleError> errors);

} // namespace pistachiofall
