#include "rules/rulesetchange.h"

#include "rules/linetokens.h"
#include "rules/ruleparser.h"

#include <utility>

namespace pistachiofall::detail {

namespace {

std::string describe(RuleKind kind, const std::string &name)
{
    return std::string(toString(kind)) + " " + quoted(name);
}

std::size_t nameColumn(std::string_view line)
{
    std::vector<RuleError> ignored;
    return splitLine(line, 1, ignored).name.column;
}

} // namespace

Result<Done> RuleSetChange::remove(const RuleSet &base, std::span<const std::string> lines)
{
    for (const std::string &line : lines) {
        std::vector<RuleError> errors;
        auto rule = parseRuleLine(line, 1, errors);
        if (!rule)
            return Error{ErrorCode::InvalidArgument, "a rule to remove is malformed"};
        const bool isPresent = std::visit(
                [&](const auto &value) {
                    using T = std::decay_t<decltype(value)>;
                    const T *existing = base.table<T>().find(value.name);
                    return existing != nullptr && *existing == value
                            && std::get<OfKind<T>>(m_kinds).removed.insert(value.name).second;
                },
                *rule);
        if (!isPresent)
            return Error{ErrorCode::Conflict,
                         "the rule of " + describe(kindOf(*rule), nameOf(*rule))
                                 + " is not in the rule set as the change expects it"};
    }
    return Done{};
}

void RuleSetChange::add(const RuleSet &base, std::span<const std::string> lines,
                        std::vector<RuleError> &errors)
{
    for (std::size_t index = 0; index < lines.size(); ++index) {
        auto rule = parseRuleLine(lines[index], index + 1, errors);
        if (!rule)
            continue;
        std::visit(
                [&](auto &value) {
                    addRule(base, std::move(value), index + 1, nameColumn(lines[index]), errors);
                },
                *rule);
    }
}

template<typename T>
void RuleSetChange::addRule(const RuleSet &base, T rule, std::size_t lineNumber, std::size_t column,
                            std::vector<RuleError> &errors)
{
    auto &kind = std::get<OfKind<T>>(m_kinds);
    if (base.table<T>().find(rule.name) != nullptr && !kind.removed.contains(rule.name)) {
        errors.push_back(
                {lineNumber, column, describe(T::Kind, rule.name) + " is in the rule set already"});
        return;
    }
    const auto [place, isNew] = kind.lineNumbers.emplace(rule.name, lineNumber);
    if (!isNew) {
        errors.push_back({lineNumber, column,
                          describe(T::Kind, rule.name) + " is given twice, first on line "
                                  + std::to_string(place->second)});
        return;
    }
    kind.added.push_back(std::make_shared<const T>(std::move(rule)));
}

} // namespace pistachiofall::detail
