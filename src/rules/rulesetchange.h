#pragma once

#include "base/result.h"
#include "rules/rule.h"
#include "rules/ruleerror.h"
#include "rules/ruleset.h"
#include "rules/ruletable.h"

#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace pistachiofall::detail {

/// The lines removed from and added to a rule set, parsed and checked against it.
class RuleSetChange
{
public:
    template<typename T>
    struct OfKind
    {
        typename RuleTable<T>::Names removed;
        std::vector<typename RuleTable<T>::Entry> added;
        /// The line number of each rule added.
        std::map<std::string, std::size_t, std::less<>> lineNumbers;

        bool isEmpty() const { return removed.empty() && added.empty(); }
    };

    /// Fails when a rule to remove is not in the base as it is given.
    Result<Done> remove(const RuleSet &base, std::span<const std::string> lines);

    /// Call after remove. Adds an error for each line that is wrong or repeats a name.
    void add(const RuleSet &base, std::span<const std::string> lines,
             std::vector<RuleError> &errors);

    template<typename T>
    const OfKind<T> &of() const
    {
        return std::get<OfKind<T>>(m_kinds);
    }

private:
    template<typename T>
    void addRule(const RuleSet &base, T rule, std::size_t lineNumber, std::size_t column,
                 std::vector<RuleError> &errors);

    std::tuple<OfKind<OrganisationRule>, OfKind<KeyRule>, OfKind<DomainRule>, OfKind<ModelRule>,
               OfKind<RouteRule>, OfKind<EndpointRule>>
            m_kinds;
};

} // namespace pistachiofall::detail
