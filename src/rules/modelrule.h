#pragma once

#include "rules/rulekind.h"

#include <string>

namespace pistachiofall {

/// The version of a model that its endpoints are to serve.
struct ModelRule
{
    static constexpr RuleKind Kind = RuleKind::Model;

    std::string name;
    std::string version;
    /// "by NAME: reason".
    std::string comment;

    bool operator==(const ModelRule &) const = default;
};

} // namespace pistachiofall
