#include "rules/endpointindex.h"

namespace pistachiofall {

EndpointIndex::EndpointIndex(const RuleTable<EndpointRule> &endpoints)
{
    for (const auto &endpoint : endpoints) {
        if (endpoint->service.empty())
            m_byModel[endpoint->model].push_back(endpoint.get());
        else
            m_byService[endpoint->service].push_back(endpoint.get());
    }
}

EndpointIndex::Endpoints EndpointIndex::ofModel(std::string_view model) const
{
    return find(m_byModel, model);
}

EndpointIndex::Endpoints EndpointIndex::ofService(std::string_view service) const
{
    return find(m_byService, service);
}

EndpointIndex::Endpoints EndpointIndex::find(const Groups &groups, std::string_view name)
{
    const auto found = groups.find(name);
    return found == groups.end() ? Endpoints{} : Endpoints{found->second};
}

} // namespace pistachiofall
