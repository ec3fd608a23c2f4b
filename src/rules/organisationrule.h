#pragma once

#include "rules/rulekind.h"

#include <string>

namespace pistachiofall {

/// How much an organisation may send, summed over all instances.
struct OrganisationRule
{
    static constexpr RuleKind Kind = RuleKind::Organisation;

    std::string name;
    /// Requests per second; may be below 1.
    double ratePerSecond = 0;
    /// Requests at once, at least 1 because a request costs a whole token.
    double burst = 0;
    /// "by NAME: reason".
    std::string comment;

    bool operator==(const OrganisationRule &) const = default;
};

} // namespace pistachiofall
