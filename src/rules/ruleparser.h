#pragma once

#include "rules/rule.h"
#include "rules/ruleerror.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace pistachiofall {

/// Parses one rule line with its comment, without a line end. Adds an error for each fault and
/// returns nothing when there was one. Returns nothing without an error for a line that is blank or
/// has only a comment.
std::optional<Rule> parseRuleLine(std::string_view line, std::size_t lineNumber,
                                  std::vector<RuleError> &errors);

namespace detail {

/// The column of the value of a field in a line that parseRuleLine accepted.
std::size_t fieldColumn(std::string_view line, std::string_view field);

} // namespace detail

} // namespace pistachiofall
