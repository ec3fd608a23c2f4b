#include "common/labelselector.h"

#include "common/objectnames.h"

#include <algorithm>

namespace pistachiofall::standins {

namespace {

std::string_view trim(std::string_view text)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    while (text.ends_with(' '))
        text.remove_suffix(1);
    return text;
}

// Splits at the commas that are outside of parentheses.
std::vector<std::string_view> splitOutside(std::string_view text)
{
    std::vector<std::string_view> parts;
    std::size_t start = 0;
    int depth = 0;
    for (std::size_t index = 0; index <= text.size(); ++index) {
        const char character = index < text.size() ? text[index] : ',';
        depth += character == '(' ? 1 : 0;
        depth -= character == ')' ? 1 : 0;
        if (character == ',' && (depth <= 0 || index == text.size())) {
            parts.push_back(trim(text.substr(start, index - start)));
            start = index + 1;
        }
    }
    return parts;
}

std::set<std::string> parseValues(std::string_view text)
{
    std::set<std::string> values;
    for (const std::string_view value : splitOutside(text))
        values.emplace(value);
    return values;
}

} // namespace

Result<LabelSelector::Requirement> LabelSelector::parseRequirement(std::string_view text)
{
    Requirement requirement;
    std::string_view name = text;
    if (text.ends_with(')')) {
        const auto open = text.find('(');
        const std::string_view head = trim(text.substr(0, open));
        const std::string_view list = text.substr(open + 1, text.size() - open - 2);
        requirement.values = parseValues(list);
        requirement.isNegated = head.ends_with(" notin");
        if (!requirement.isNegated && !head.ends_with(" in"))
            return Error{ErrorCode::InvalidArgument, "operator in '" + std::string(text) + "'"};
        name = head.substr(0, head.rfind(' '));
    } else if (const auto equals = text.find('='); equals != std::string_view::npos) {
        name = text.substr(0, equals);
        requirement.isNegated = name.ends_with('!');
        if (requirement.isNegated)
            name.remove_suffix(1);
        std::string_view value = text.substr(equals + 1);
        if (value.starts_with('='))
            value.remove_prefix(1);
        requirement.values.emplace(trim(value));
    } else if (text.starts_with('!')) {
        requirement.isNegated = true;
        name = text.substr(1);
    }
    requirement.name = trim(name);
    if (!isLabelName(requirement.name)
        || !std::ranges::all_of(requirement.values,
                                [](const auto &value) { return isLabelValue(value); }))
        return Error{ErrorCode::InvalidArgument, "name or value in '" + std::string(text) + "'"};
    return requirement;
}

Result<LabelSelector> LabelSelector::parse(std::string_view text)
{
    LabelSelector selector;
    if (trim(text).empty())
        return selector;
    for (const std::string_view part : splitOutside(text)) {
        Result<Requirement> requirement = parseRequirement(part);
        if (!isOk(requirement))
            return errorOf(requirement);
        selector.m_requirements.push_back(valueOf(std::move(requirement)));
    }
    return selector;
}

bool LabelSelector::matches(const std::map<std::string, std::string> &labels) const
{
    return std::ranges::all_of(m_requirements, [&labels](const Requirement &requirement) {
        const auto label = labels.find(requirement.name);
        const bool isSelected = label != labels.end()
                && (requirement.values.empty() || requirement.values.contains(label->second));
        return isSelected != requirement.isNegated;
    });
}

} // namespace pistachiofall::standins
