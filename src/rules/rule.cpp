#include "rules/rule.h"

namespace pistachiofall {

RuleKind kindOf(const Rule &rule)
{
    return std::visit([](const auto &value) { return value.Kind; }, rule);
}

const std::string &nameOf(const Rule &rule)
{
    return std::visit([](const auto &value) -> const std::string & { return value.name; }, rule);
}

} // namespace pistachiofall
