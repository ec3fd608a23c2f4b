#pragma once

#include "base/result.h"
#include "rules/ruleset.h"
#include "rules/rulessnapshot.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiofall {

/// The operators' file.
struct RuleFile
{
    /// The version in the header "# version N": the one that the file was made from.
    std::optional<std::uint64_t> baseVersion;
    RuleSet::Ptr rules;
};

/// Parses and checks a whole file. The error names all faults, each with line and column. A header
/// "# version N" may stand on the first line only.
Result<RuleFile> parseRuleFile(std::string_view text);

/// The file as "rules show" prints it, which parseRuleFile accepts: the version, who applied it and
/// when, and all rules.
std::string formatRuleFile(const RulesSnapshot &snapshot);

} // namespace pistachiofall
