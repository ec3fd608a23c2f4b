#include "fleet/servingconfig.h"

#include "base/stablehash.h"

#include <algorithm>
#include <utility>

namespace pistachiofall {

ServingConfig::Ptr ServingConfig::create(std::uint64_t version, std::vector<ServingRoute> routes,
                                         std::vector<ServingService> services,
                                         std::vector<ServingOrganisation> organisations)
{
    const std::shared_ptr<ServingConfig> config(new ServingConfig);
    config->m_version = version;
    for (ServingRoute &route : routes)
        config->m_routesByHost[route.host].push_back(std::move(route));
    for (auto &[host, hostRoutes] : config->m_routesByHost) {
        // Sorted by descending length, so that the first match is the longest one.
        std::stable_sort(hostRoutes.begin(), hostRoutes.end(),
                         [](const ServingRoute &left, const ServingRoute &right) {
                             return left.pathPrefix.size() > right.pathPrefix.size();
                         });
    }
    for (ServingService &service : services) {
        const std::string name = service.name;
        config->m_services.emplace(name, std::move(service));
    }
    for (ServingOrganisation &organisation : organisations) {
        const std::string name = organisation.name;
        config->m_organisations.insert_or_assign(name, std::move(organisation));
    }
    for (const auto &[name, organisation] : config->m_organisations) {
        for (const std::string &key : organisation.keys)
            config->m_organisationByKey.emplace(key, &organisation);
    }
    return config;
}

const ServingRoute *ServingConfig::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(std::string(host));
    if (found == m_routesByHost.end())
        return nullptr;
    const auto route = std::find_if(
            found->second.begin(), found->second.end(),
            [path](const ServingRoute &each) { return path.starts_with(each.pathPrefix); });
    return route == found->second.end() ? nullptr : &*route;
}

const ServingOrganisation *ServingConfig::organisationForKey(std::string_view key) const
{
    const auto found = m_organisationByKey.find(std::string(key));
    return found == m_organisationByKey.end() ? nullptr : found->second;
}

const ServingOrganisation *ServingConfig::organisation(const std::string &name) const
{
    const auto found = m_organisations.find(name);
    return found == m_organisations.end() ? nullptr : &found->second;
}

const ServingService *ServingConfig::service(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

std::string_view chooseService(const ServingRoute &route, std::string_view requestKey)
{
    double total = 0;
    for (const WeightedService &target : route.targets)
        total += target.weight;
    if (route.targets.empty())
        return {};
    constexpr double HashRange = 1U << 20U;
    const auto hash = stableHash(requestKey) % (1U << 20U);
    double point = total * static_cast<double>(hash) / HashRange;
    for (const WeightedService &target : route.targets) {
        point -= target.weight;
        if (point < 0)
            return target.service;
    }
    return route.targets.back().service;
}

} // namespace pistachiofall
