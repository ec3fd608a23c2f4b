#pragma once

#include "rules/endpointrule.h"
#include "rules/ruletable.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiofall {

/// The endpoints of each model and of each service, in the order of their names.
class EndpointIndex
{
public:
    using Endpoints = std::span<const EndpointRule *const>;

    EndpointIndex() = default;
    /// The rules of the table must outlive the index.
    explicit EndpointIndex(const RuleTable<EndpointRule> &endpoints);

    Endpoints ofModel(std::string_view model) const;
    Endpoints ofService(std::string_view service) const;

private:
    using Groups = std::map<std::string, std::vector<const EndpointRule *>, std::less<>>;

    static Endpoints find(const Groups &groups, std::string_view name);

    Groups m_byModel;
    Groups m_byService;
};

} // namespace pistachiofall
