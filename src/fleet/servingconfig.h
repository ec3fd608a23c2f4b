#pragma once

#include "fleet/servingorganisation.h"
#include "fleet/servingroute.h"
#include "fleet/servingservice.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pistachiofall {

/// One version of the configuration written by the operators, indexed for lookups by requests.
/// Immutable once it is shared.
class ServingConfig
{
public:
    using Ptr = std::shared_ptr<const ServingConfig>;

    /// Indexes the routes, services and organisations.
    static Ptr create(std::uint64_t version, std::vector<ServingRoute> routes,
                      std::vector<ServingService> services,
                      std::vector<ServingOrganisation> organisations);

    std::uint64_t version() const { return m_version; }

    /// Returns the route of the host with the longest path prefix that matches, or null.
    const ServingRoute *findRoute(std::string_view host, std::string_view path) const;

    /// Returns the organisation that the API key belongs to, or null.
    const ServingOrganisation *organisationForKey(std::string_view key) const;
    const ServingOrganisation *organisation(const std::string &name) const;
    const ServingService *service(const std::string &name) const;

    /// Returns whether requests need an API key.
    bool hasOrganisations() const { return !m_organisations.empty(); }
    const std::map<std::string, ServingOrganisation> &organisations() const
    {
        return m_organisations;
    }

private:
    ServingConfig() = default;

    std::uint64_t m_version = 0;
    std::unordered_map<std::string, std::vector<ServingRoute>> m_routesByHost;
    std::map<std::string, ServingService> m_services;
    std::map<std::string, ServingOrganisation> m_organisations;
    std::unordered_map<std::string, const ServingOrganisation *> m_organisationByKey;
};

/// Returns the service that a request of the route is sent to, in proportion to the weights. The
/// same key always selects the same service, so that a retry goes to the service of the first
/// attempt.
std::string_view chooseService(const ServingRoute &route, std::string_view requestKey);

} // namespace pistachiofall
