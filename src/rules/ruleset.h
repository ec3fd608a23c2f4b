#pragma once

#include "base/result.h"
#include "rules/endpointindex.h"
#include "rules/rule.h"
#include "rules/ruletable.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace pistachiofall {

namespace detail {
class RuleSetChange;
} // namespace detail

/// All rules at one version. It does not change, so it is shared between threads without locks.
/// Pointers and spans that it returns are valid as long as the set.
class RuleSet
{
public:
    using Ptr = std::shared_ptr<const RuleSet>;
    using Endpoints = EndpointIndex::Endpoints;

    /// A set without rules.
    RuleSet();

    /// Parses and checks all lines. Blank lines and lines with only a comment are skipped. The
    /// error names all faults, each with line (from 1) and column.
    static Result<Ptr> create(std::span<const std::string> lines);

    /// The set after a change: the rules removed must be in this set just as they are, the rules
    /// added must not be in what is left. Costs far less than create, as the sets share what did
    /// not change. Errors name the line among those added.
    Result<Ptr> apply(std::span<const std::string> removed,
                      std::span<const std::string> added) const;

    /// These return null when there is no such rule.
    const OrganisationRule *organisation(std::string_view name) const;
    const KeyRule *key(std::string_view id) const;
    const ModelRule *model(std::string_view name) const;
    const EndpointRule *endpoint(std::string_view name) const;

    /// The route with the longest prefix of the request target, or null. Also null for a target
    /// that decodeRequestPath rejects.
    const RouteRule *route(std::string_view target) const;

    Endpoints endpointsOfModel(std::string_view model) const;
    Endpoints endpointsOfService(std::string_view service) const;

    /// Whether a rule takes the failure domain out of service.
    bool isFailureDomainOut(std::string_view name) const;

    /// All rules of one kind, such as table<KeyRule>().
    template<typename T>
    const RuleTable<T> &table() const
    {
        return *std::get<TablePtr<T>>(m_tables);
    }

    /// The number of rules.
    std::size_t size() const;

    /// The lines of all rules as formatRule writes them, by kind and name.
    std::vector<std::string> lines() const;

    /// The lines from the first on, at most count of them, in the order of lines().
    std::vector<std::string> lines(std::size_t first, std::size_t count) const;

private:
    template<typename T>
    using TablePtr = std::shared_ptr<const RuleTable<T>>;

    template<typename T>
    void applyKind(const detail::RuleSetChange &change);
    Result<Done> checkRemovedOrganisations(const detail::RuleSetChange &change) const;

    std::tuple<TablePtr<OrganisationRule>, TablePtr<KeyRule>, TablePtr<DomainRule>,
               TablePtr<ModelRule>, TablePtr<RouteRule>, TablePtr<EndpointRule>>
            m_tables;
    std::shared_ptr<const EndpointIndex> m_endpointIndex;
};

} // namespace pistachiofall
