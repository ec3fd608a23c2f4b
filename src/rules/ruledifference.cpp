#include "rules/ruledifference.h"

#include "rules/ruleformat.h"

namespace pistachiofall {

namespace {

/// Walks over both sorted tables at once.
template<typename T>
void addDifference(const RuleTable<T> &from, const RuleTable<T> &to, RuleDifference &result)
{
    auto before = from.begin();
    auto after = to.begin();
    while (before != from.end() || after != to.end()) {
        if (after == to.end() || (before != from.end() && (*before)->name < (*after)->name)) {
            result.removed.push_back(formatRule(**before++));
        } else if (before == from.end() || (*after)->name < (*before)->name) {
            result.added.push_back(formatRule(**after++));
        } else {
            if (*before != *after && **before != **after) {
                result.removed.push_back(formatRule(**before));
                result.added.push_back(formatRule(**after));
            }
            ++before;
            ++after;
        }
    }
}

template<typename T>
void addDifferenceOf(const RuleSet &from, const RuleSet &to, RuleDifference &result)
{
    addDifference(from.table<T>(), to.table<T>(), result);
}

} // namespace

RuleDifference difference(const RuleSet &from, const RuleSet &to)
{
    RuleDifference result;
    addDifferenceOf<OrganisationRule>(from, to, result);
    addDifferenceOf<KeyRule>(from, to, result);
    addDifferenceOf<DomainRule>(from, to, result);
    addDifferenceOf<ModelRule>(from, to, result);
    addDifferenceOf<RouteRule>(from, to, result);
    addDifferenceOf<EndpointRule>(from, to, result);
    return result;
}

std::string formatDifference(const std::vector<std::string> &removed,
                             const std::vector<std::string> &added)
{
    std::string text;
    for (const std::string &line : removed)
        text += "- " + line + "\n";
    for (const std::string &line : added)
        text += "+ " + line + "\n";
    return text;
}

} // namespace pistachiofall
