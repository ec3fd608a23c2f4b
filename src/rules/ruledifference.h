#pragma once

#include "rules/ruleset.h"

#include <string>
#include <vector>

namespace pistachiofall {

/// The lines that turn one rule set into another.
struct RuleDifference
{
    std::vector<std::string> removed;
    std::vector<std::string> added;

    bool isEmpty() const { return removed.empty() && added.empty(); }
};

/// Costs little for rules that both sets share.
RuleDifference difference(const RuleSet &from, const RuleSet &to);

/// The difference as text: "- line" and "+ line", each with a line end.
std::string formatDifference(const std::vector<std::string> &removed,
                             const std::vector<std::string> &added);

} // namespace pistachiofall
