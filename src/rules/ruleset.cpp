#include "rules/ruleset.h"

#include "rules/linetokens.h"
#include "rules/requestpath.h"
#include "rules/ruleformat.h"
#include "rules/rulelimits.h"
#include "rules/ruleparser.h"
#include "rules/rulesetchange.h"

#include <utility>

namespace pistachiofall {

namespace {

std::string unknownOrganisation(const KeyRule &key)
{
    return "organisation " + detail::quoted(key.organisation) + " of key "
            + detail::quoted(key.name) + " is unknown; accepted: the name of an organisation rule";
}

/// Calls the function with each table, in the order of the kinds.
template<typename Function>
void forEachTable(const RuleSet &rules, Function function)
{
    function(rules.table<OrganisationRule>());
    function(rules.table<KeyRule>());
    function(rules.table<DomainRule>());
    function(rules.table<ModelRule>());
    function(rules.table<RouteRule>());
    function(rules.table<EndpointRule>());
}

} // namespace

RuleSet::RuleSet()
    : m_endpointIndex(std::make_shared<const EndpointIndex>())
{
    std::apply(
            [](auto &...tables) {
                ((tables = std::make_shared<
                          typename std::decay_t<decltype(tables)>::element_type>()),
                 ...);
            },
            m_tables);
}

Result<RuleSet::Ptr> RuleSet::create(std::span<const std::string> lines)
{
    return RuleSet().apply({}, lines);
}

Result<RuleSet::Ptr> RuleSet::apply(std::span<const std::string> removed,
                                    std::span<const std::string> added) const
{
    detail::RuleSetChange change;
    if (auto outcome = change.remove(*this, removed); !isOk(outcome))
        return errorOf(outcome);
    std::vector<RuleError> errors;
    change.add(*this, added, errors);
    auto next = std::make_shared<RuleSet>(*this);
    next->applyKind<OrganisationRule>(change);
    next->applyKind<KeyRule>(change);
    next->applyKind<DomainRule>(change);
    next->applyKind<ModelRule>(change);
    next->applyKind<RouteRule>(change);
    next->applyKind<EndpointRule>(change);
    if (!change.of<EndpointRule>().isEmpty())
        next->m_endpointIndex = std::make_shared<const EndpointIndex>(next->table<EndpointRule>());
    for (const auto &key : change.of<KeyRule>().added) {
        if (next->organisation(key->organisation) == nullptr) {
            const std::size_t line = change.of<KeyRule>().lineNumbers.at(key->name);
            errors.push_back({line, detail::fieldColumn(added[line - 1], "organisation"),
                              unknownOrganisation(*key)});
        }
    }
    if (!errors.empty())
        return joinRuleErrors(std::move(errors));
    if (auto outcome = next->checkRemovedOrganisations(change); !isOk(outcome))
        return errorOf(outcome);
    if (next->size() > MaxRules)
        return Error{ErrorCode::InvalidArgument,
                     "the rule set has " + std::to_string(next->size()) + " rules; accepted: up to "
                             + std::to_string(MaxRules)};
    return Ptr(std::move(next));
}

template<typename T>
void RuleSet::applyKind(const detail::RuleSetChange &change)
{
    const auto &ofKind = change.of<T>();
    if (!ofKind.isEmpty())
        std::get<TablePtr<T>>(m_tables) = std::make_shared<const RuleTable<T>>(
                RuleTable<T>::merge(table<T>(), ofKind.removed, ofKind.added));
}

Result<Done> RuleSet::checkRemovedOrganisations(const detail::RuleSetChange &change) const
{
    bool hasFewer = false;
    for (const std::string &name : change.of<OrganisationRule>().removed)
        hasFewer = hasFewer || organisation(name) == nullptr;
    if (!hasFewer)
        return Done{};
    for (const auto &key : table<KeyRule>()) {
        if (organisation(key->organisation) == nullptr)
            return Error{ErrorCode::InvalidArgument, unknownOrganisation(*key)};
    }
    return Done{};
}

const OrganisationRule *RuleSet::organisation(std::string_view name) const
{
    return table<OrganisationRule>().find(name);
}

const KeyRule *RuleSet::key(std::string_view id) const
{
    return table<KeyRule>().find(id);
}

const ModelRule *RuleSet::model(std::string_view name) const
{
    return table<ModelRule>().find(name);
}

const EndpointRule *RuleSet::endpoint(std::string_view name) const
{
    return table<EndpointRule>().find(name);
}

const RouteRule *RuleSet::route(std::string_view target) const
{
    if (table<RouteRule>().size() == 0)
        return nullptr;
    const auto path = decodeRequestPath(target);
    if (!path)
        return nullptr;
    // Tries "/a/b/c", "/a/b", "/a" and "/", as a prefix ends at a segment.
    std::string_view prefix = *path;
    if (prefix.size() > 1 && prefix.back() == '/')
        prefix.remove_suffix(1);
    while (prefix.size() > 1) {
        if (const RouteRule *rule = table<RouteRule>().find(prefix))
            return rule;
        prefix = prefix.substr(0, prefix.rfind('/'));
    }
    return table<RouteRule>().find("/");
}

RuleSet::Endpoints RuleSet::endpointsOfModel(std::string_view model) const
{
    return m_endpointIndex->ofModel(model);
}

RuleSet::Endpoints RuleSet::endpointsOfService(std::string_view service) const
{
    return m_endpointIndex->ofService(service);
}

bool RuleSet::isFailureDomainOut(std::string_view name) const
{
    const DomainRule *rule = table<DomainRule>().find(name);
    return rule != nullptr && rule->out;
}

std::size_t RuleSet::size() const
{
    std::size_t count = 0;
    forEachTable(*this, [&](const auto &table) { count += table.size(); });
    return count;
}

std::vector<std::string> RuleSet::lines() const
{
    return lines(0, size());
}

std::vector<std::string> RuleSet::lines(std::size_t first, std::size_t count) const
{
    std::vector<std::string> result;
    std::size_t skip = first;
    forEachTable(*this, [&](const auto &table) {
        if (skip >= table.size()) {
            skip -= table.size();
            return;
        }
        for (auto entry = table.begin() + static_cast<std::ptrdiff_t>(skip);
             entry != table.end() && result.size() < count; ++entry)
            result.push_back(formatRule(**entry));
        skip = 0;
    });
    return result;
}

} // namespace pistachiofall
