#pragma once

#include "rules/rulekind.h"

#include <string>

namespace pistachiofall {

/// Whether a failure domain is in service. A failure domain without a rule is.
struct DomainRule
{
    static constexpr RuleKind Kind = RuleKind::Domain;

    std::string name;
    /// Its endpoints get no new work.
    bool out = false;
    /// "by NAME: reason".
    std::string comment;

    bool operator==(const DomainRule &) const = default;
};

} // namespace pistachiofall
