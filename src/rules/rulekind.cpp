#include "rules/rulekind.h"

namespace pistachiofall {

std::string_view toString(RuleKind kind)
{
    switch (kind) {
    case RuleKind::Organisation:
        return "organisation";
    case RuleKind::Key:
        return "key";
    case RuleKind::Domain:
        return "domain";
    case RuleKind::Model:
        return "model";
    case RuleKind::Route:
        return "route";
    case RuleKind::Endpoint:
        return "endpoint";
    }
    return "unknown";
}

std::optional<RuleKind> parseRuleKind(std::string_view word)
{
    for (const RuleKind kind : AllRuleKinds) {
        if (toString(kind) == word)
            return kind;
    }
    return std::nullopt;
}

} // namespace pistachiofall
